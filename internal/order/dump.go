package order

import (
	"slices"
	"time"
)

// Dump is a snapshot for operators.
type Dump struct {
	Version uint64 `json:"configuration_version"`
	// Fencing is that of the newest term; Holding says whether it goes on.
	Fencing  uint64       `json:"fencing"`
	Holding  bool         `json:"holding"`
	InFlight int          `json:"orders_in_flight"`
	Loading  int          `json:"engines_loading"`
	Absent   []string     `json:"models_on_no_engine"`
	Engines  []EngineDump `json:"engines"`
}

// EngineDump is what is believed of one engine.
type EngineDump struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Known       bool     `json:"known"`
	Dead        bool     `json:"dead"`
	Leaving     bool     `json:"leaving"`
	EarlierOrdersBarred      bool     `json:"earlier_orders_barred"`
	Checks      bool     `json:"checks_fencing"`
	Models      []string `json:"models"`
	Loading     []string `json:"loading"`
	LastOrder   string   `json:"last_order"`
	LastFencing uint64   `json:"last_fencing"`
	Load        []string `json:"order_load,omitempty"`
	Unload      []string `json:"order_unload,omitempty"`
}

// Dump returns a snapshot with at most limit engines.
func (c *Core) Dump(now time.Duration, limit int) Dump {
	d := Dump{
		Version: c.desired.Version, Fencing: c.term.Fencing, Holding: c.holding && now < c.term.Until,
		InFlight: c.InFlight(), Loading: c.loading(now), Absent: c.absent,
	}
	for _, s := range c.engines[:min(limit, len(c.engines))] {
		e := EngineDump{
			Name: s.Name, Address: s.Address, Known: s.known, Dead: c.dead(s), Leaving: s.Leaving,
			EarlierOrdersBarred: s.barred, Checks: c.checks(s.Name), Models: s.status.Models, Loading: s.status.Loading,
			LastOrder: s.status.LastOrder, LastFencing: s.status.LastFencing,
		}
		if s.pending != nil {
			e.Load, e.Unload = s.pending.load, s.pending.unload
		}
		d.Engines = append(d.Engines, e)
	}
	return d
}

// checks says whether the configuration lists the engine as checking fencing numbers.
func (c *Core) checks(engine string) bool {
	_, found := slices.BinarySearch(c.desired.ChecksFencing, engine)
	return found
}
