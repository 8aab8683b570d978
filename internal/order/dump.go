package order

import (
	"slices"
	"time"
)

// Dump is a snapshot of a Core for operators.
type Dump struct {
	// Version is the version of the configuration that the orders follow.
	Version uint64 `json:"configuration_version"`
	// Fencing is the fencing number of the newest term; Holding reports whether
	// that term is still in force.
	Fencing uint64 `json:"fencing"`
	Holding bool   `json:"holding"`
	// InFlight is the number of orders whose answer is awaited, and Loading the
	// number of engines that count against LoadsAtOnce.
	InFlight int `json:"orders_in_flight"`
	Loading  int `json:"engines_loading"`
	// Absent lists the desired models that no usable engine serves in any
	// version.
	Absent  []string     `json:"models_on_no_engine"`
	Engines []EngineDump `json:"engines"`
}

// EngineDump is the last known state of one engine, which may be out of date.
type EngineDump struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Known reports whether the engine's status was read in the current term.
	Known bool `json:"known"`
	// Dead reports that the engine has stopped answering, Leaving that the
	// platform lists it as about to leave.
	Dead    bool `json:"dead"`
	Leaving bool `json:"leaving"`
	// EarlierOrdersBarred reports whether the engine has reported the fencing
	// number of the current term, after which no order of an earlier holder can
	// take effect.
	EarlierOrdersBarred bool `json:"earlier_orders_barred"`
	// ChecksFencing reports whether the configuration lists the engine as one that
	// checks fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// Models and Loading list the names that the engine serves and loads.
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	// LastOrder and LastFencing are the ID and the fencing number of the last
	// order that the engine has run.
	LastOrder   string `json:"last_order"`
	LastFencing uint64 `json:"last_fencing"`
	// Load and Unload are the contents of the order whose answer is awaited.
	Load   []string `json:"order_load,omitempty"`
	Unload []string `json:"order_unload,omitempty"`
}

// Dump returns a snapshot with at most limit engines.
func (c *Core) Dump(now time.Duration, limit int) Dump {
	d := Dump{
		Version: c.desired.Version, Fencing: c.term.Fencing, Holding: c.termActive && now < c.term.Until,
		InFlight: c.InFlight(), Loading: c.countLoading(now), Absent: c.absentModels,
	}
	for _, s := range c.engines[:min(limit, len(c.engines))] {
		e := EngineDump{
			Name: s.Name, Address: s.Address, Known: s.statusKnown, Dead: c.dead(s), Leaving: s.Leaving,
			EarlierOrdersBarred: s.reportsTermFencing, ChecksFencing: c.checksFencing(s.Name), Models: s.status.Models, Loading: s.status.Loading,
			LastOrder: s.status.LastOrder, LastFencing: s.status.LastFencing,
		}
		if s.pending != nil {
			e.Load, e.Unload = s.pending.load, s.pending.unload
		}
		d.Engines = append(d.Engines, e)
	}
	return d
}

// checksFencing reports whether the configuration lists the engine as one that
// checks fencing numbers.
func (c *Core) checksFencing(engine string) bool {
	_, found := slices.BinarySearch(c.desired.ChecksFencing, engine)
	return found
}
