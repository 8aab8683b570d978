package experiment

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// naiveLease is a lease without the care of the real one: it writes down when
// it ends by its own clock, or counts it from the answer.
type naiveLease struct {
	name string
	// wall makes candidates compare the written end with their own clock;
	// otherwise they wait for the duration, and the holder counts from the
	// answer.
	wall   bool
	record naiveRecord
	// version was first seen at seen.
	version uint64
	seen    time.Duration
	until   time.Duration
	next    time.Duration
	busy    bool
	wrote   naiveRecord
}

type naiveRecord struct {
	Holder  string
	Fencing uint64
	Ends    time.Duration
}

const naiveDuration = 10 * time.Second

func (n *naiveLease) Holding(now time.Duration) (lease.Term, bool) {
	return lease.Term{Fencing: n.record.Fencing, Until: n.until}, now < n.until
}

func (n *naiveLease) Status(time.Duration) lease.Status { return lease.Status{} }

func (n *naiveLease) Step(now time.Duration, event lease.Event) []lease.Effect {
	switch e := event.(type) {
	case lease.ReadDone:
		return n.read(now, e)
	case lease.WriteDone:
		n.busy = false
		if e.Result == lease.OK {
			n.record, n.version, n.until = n.wrote, e.Version, n.wrote.Ends
			if !n.wall {
				n.until = now + naiveDuration
			}
		}
	case lease.Tick:
		if !n.busy && now >= n.next {
			n.busy, n.next = true, now+time.Second
			return []lease.Effect{lease.Read{}}
		}
	}
	return nil
}

func (n *naiveLease) read(now time.Duration, e lease.ReadDone) []lease.Effect {
	n.busy = false
	if e.Result != lease.OK && e.Result != lease.NotFound {
		return nil
	}
	var r naiveRecord
	_ = json.Unmarshal(e.Value, &r)
	if e.Version != n.version || e.Version == 0 {
		n.version, n.seen = e.Version, now
	}
	mine := r.Holder == n.name
	free := now-n.seen >= naiveDuration
	if n.wall {
		free = now >= r.Ends
	}
	if !mine && !free && e.Version != 0 {
		return nil
	}
	n.wrote = naiveRecord{Holder: n.name, Fencing: r.Fencing, Ends: now + naiveDuration}
	if !mine {
		n.wrote.Fencing++
	}
	value, _ := json.Marshal(n.wrote)
	n.busy = true
	return []lease.Effect{lease.Write{Value: value, Base: e.Version}}
}

func newNaiveLease(wall bool) func(controller.Config) *controller.Core {
	return func(cfg controller.Config) *controller.Core {
		o, err := order.New(cfg.Order)
		if err != nil {
			panic(err)
		}
		return controller.NewWithCores(cfg, &naiveLease{name: cfg.Lease.Holder + cfg.Lease.Instance, wall: wall}, o)
	}
}

// TestNaiveLeasesBreakPromises shows that the check of the lease can fail.
func TestNaiveLeasesBreakPromises(t *testing.T) {
	for name, wall := range map[string]bool{"compares wall clocks": true, "counts from the answer": false} {
		broken := 0
		for seed := range uint64(20) {
			c := troubled(seed)
			c.New = newNaiveLease(wall)
			if strings.Contains(strings.Join(Run(c).Result.Violations, "\n"), "believes to hold") {
				broken++
			}
		}
		if broken == 0 {
			t.Errorf("a lease that %s had one holder at a time", name)
		}
		t.Logf("a lease that %s had two holders in %d of 20 runs", name, broken)
	}
}

// ownIDs gives each order an ID of its own, as if IDs served only to tell
// orders apart.
type ownIDs struct{ *order.Core }

func (o ownIDs) Step(now time.Duration, e order.Event) []order.Effect {
	effects := o.Core.Step(now, e)
	for i, effect := range effects {
		if s, ok := effect.(order.SendOrder); ok {
			s.ID = fmt.Sprintf("%d-%d", s.Fencing, s.Token)
			effects[i] = s
		}
	}
	return effects
}

// TestOwnIDsLetOldOrdersThrough shows that the IDs, and not luck, keep orders
// of an earlier holder from taking effect where fencing is not checked.
func TestOwnIDsLetOldOrdersThrough(t *testing.T) {
	stale := 0
	for seed := range uint64(10) {
		c := troubled(seed)
		c.ChecksFencing = false
		c.New = withOrders(func(cfg order.Config) controller.OrderPlanner { return ownIDs{newOrders(cfg)} })
		stale += Run(c).Result.Stale
	}
	if stale == 0 {
		t.Fatal("no order of an earlier holder took effect")
	}
}

func newOrders(cfg order.Config) *order.Core {
	o, err := order.New(cfg)
	if err != nil {
		panic(err)
	}
	return o
}

func withOrders(orders func(order.Config) controller.OrderPlanner) func(controller.Config) *controller.Core {
	return func(cfg controller.Config) *controller.Core {
		l, err := lease.New(cfg.Lease)
		if err != nil {
			panic(err)
		}
		return controller.NewWithCores(cfg, l, orders(cfg.Order))
	}
}

// naiveOrders sends each engine its difference at once, loads and unloads in
// one order.
type naiveOrders struct {
	term    order.Term
	holding bool
	desired order.DesiredState
	engines []order.Engine
	next    time.Duration
	token   uint64
}

func (n *naiveOrders) InFlight() int { return 0 }

func (n *naiveOrders) Dump(time.Duration, int) order.Dump { return order.Dump{} }

func (n *naiveOrders) Step(now time.Duration, event order.Event) []order.Effect {
	var effects []order.Effect
	switch e := event.(type) {
	case order.Term:
		n.term, n.holding = e, true
	case order.TermEnded:
		n.holding = false
	case order.DesiredStateChanged:
		n.desired = e.Desired
	case order.EnginesListed:
		n.engines = e.Engines
	case order.StatusRead:
		if !e.Failed && n.holding {
			effects = n.difference(now, e)
		}
	}
	if n.holding && now >= n.next {
		n.next = now + time.Second
		for _, e := range n.engines {
			effects = append(effects, order.ReadStatus{Engine: e.Name, Address: e.Address})
		}
	}
	return effects
}

func (n *naiveOrders) difference(now time.Duration, e order.StatusRead) []order.Effect {
	var wanted []string
	for _, m := range n.desired.Models {
		wanted = append(wanted, m.Name+"@"+m.Version)
	}
	has := append(e.Status.Models, e.Status.Loading...)
	n.token++
	s := order.SendOrder{
		Engine: e.Engine, Token: n.token, Fencing: n.term.Fencing,
		ID: fmt.Sprintf("%d-%d", n.term.Fencing, n.token), NotAfter: min(n.term.Until, now+time.Second),
	}
	for _, name := range wanted {
		if !slices.Contains(has, name) {
			s.Load = append(s.Load, name)
		}
	}
	for _, name := range has {
		if !slices.Contains(wanted, name) {
			s.Unload = append(s.Unload, name)
		}
	}
	if len(s.Load)+len(s.Unload) == 0 {
		return nil
	}
	return []order.Effect{s}
}

// TestNaiveOrdersLeaveModelsWithoutEngines shows that the check of version
// changes can fail.
func TestNaiveOrdersLeaveModelsWithoutEngines(t *testing.T) {
	c := troubled(1)
	c.Faults = Faults{}
	c.New = withOrders(func(order.Config) controller.OrderPlanner { return &naiveOrders{} })
	r := Run(c).Result
	if !strings.Contains(strings.Join(r.Violations, "\n"), "no engine serves") {
		t.Errorf("a naive difference left every model on an engine: %s", report(r))
	}
}
