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

// naiveLease is a lease without the safeguards of the real one. In one variant
// the stored record has the time on the holder's clock at which the lease ends;
// in the other the lease time counts from the answer to the write.
type naiveLease struct {
	name string
	// comparesWallClocks makes candidates compare the stored end with their own
	// clock. Otherwise they wait for the duration, and the holder counts from
	// the answer.
	comparesWallClocks bool
	record             naiveRecord
	// version is the version last read, first seen at versionSeenAt.
	version       uint64
	versionSeenAt time.Duration
	heldUntil     time.Duration
	nextReadAt    time.Duration
	callInFlight  bool
	written       naiveRecord
}

// naiveRecord is the stored content of a naiveLease.
type naiveRecord struct {
	Holder  string
	Fencing uint64
	Ends    time.Duration
}

// naiveDuration is the duration of a naiveLease.
const naiveDuration = 10 * time.Second

func (n *naiveLease) Holding(now time.Duration) (lease.Term, bool) {
	return lease.Term{Fencing: n.record.Fencing, Until: n.heldUntil}, now < n.heldUntil
}

func (n *naiveLease) Status(time.Duration) lease.Status { return lease.Status{} }

func (n *naiveLease) Step(now time.Duration, event lease.Event) []lease.Effect {
	switch e := event.(type) {
	case lease.ReadDone:
		return n.handleRead(now, e)
	case lease.WriteDone:
		n.callInFlight = false
		if e.Result == lease.OK {
			n.record, n.version, n.heldUntil = n.written, e.Version, n.written.Ends
			if !n.comparesWallClocks {
				n.heldUntil = now + naiveDuration
			}
		}
	case lease.Tick:
		if !n.callInFlight && now >= n.nextReadAt {
			n.callInFlight, n.nextReadAt = true, now+time.Second
			return []lease.Effect{lease.Read{}}
		}
	}
	return nil
}

// handleRead renews or takes over the lease if the record read allows it.
func (n *naiveLease) handleRead(now time.Duration, e lease.ReadDone) []lease.Effect {
	n.callInFlight = false
	if e.Result != lease.OK && e.Result != lease.NotFound {
		return nil
	}
	var r naiveRecord
	_ = json.Unmarshal(e.Value, &r)
	if e.Version != n.version || e.Version == 0 {
		n.version, n.versionSeenAt = e.Version, now
	}
	ownRecord := r.Holder == n.name
	canTakeOver := now-n.versionSeenAt >= naiveDuration
	if n.comparesWallClocks {
		canTakeOver = now >= r.Ends
	}
	if !ownRecord && !canTakeOver && e.Version != 0 {
		return nil
	}
	n.written = naiveRecord{Holder: n.name, Fencing: r.Fencing, Ends: now + naiveDuration}
	if !ownRecord {
		n.written.Fencing++
	}
	value, _ := json.Marshal(n.written)
	n.callInFlight = true
	return []lease.Effect{lease.Write{Value: value, Base: e.Version}}
}

// newNaiveLease returns a constructor of controllers with a naiveLease.
func newNaiveLease(comparesWallClocks bool) func(controller.Config) *controller.Core {
	return func(cfg controller.Config) *controller.Core {
		o, err := order.New(cfg.Order)
		if err != nil {
			panic(err)
		}
		return controller.NewWithCores(cfg, &naiveLease{name: cfg.Lease.Holder + cfg.Lease.Instance, comparesWallClocks: comparesWallClocks}, o)
	}
}

// TestNaiveLeasesAllowTwoHolders shows that the check for a single holder can
// fail.
func TestNaiveLeasesAllowTwoHolders(t *testing.T) {
	for name, comparesWallClocks := range map[string]bool{"compares wall clocks": true, "counts from the answer": false} {
		runsWithTwoHolders := 0
		for seed := range uint64(20) {
			c := configWithFaults(seed)
			c.NewController = newNaiveLease(comparesWallClocks)
			if strings.Contains(strings.Join(Run(c).Result.Violations, "\n"), "also holds it") {
				runsWithTwoHolders++
			}
		}
		if runsWithTwoHolders == 0 {
			t.Errorf("a lease that %s never had two holders", name)
		}
		t.Logf("a lease that %s had two holders in %d of 20 runs", name, runsWithTwoHolders)
	}
}

// uniqueIDs gives each order a unique ID that does not depend on the engine's
// last order, as if IDs only served to distinguish orders.
type uniqueIDs struct{ *order.Core }

func (o uniqueIDs) Step(now time.Duration, e order.Event) []order.Effect {
	effects := o.Core.Step(now, e)
	for i, effect := range effects {
		if s, ok := effect.(order.SendOrder); ok {
			s.ID = fmt.Sprintf("%d-%d", s.Fencing, s.Token)
			effects[i] = s
		}
	}
	return effects
}

// TestUniqueIDsLetOldOrdersTakeEffect shows that orders of an earlier holder take
// effect if fencing numbers are not checked and the IDs are not derived from the
// engine's last order. So it is not by chance that the other runs have none.
func TestUniqueIDsLetOldOrdersTakeEffect(t *testing.T) {
	stale := 0
	for seed := range uint64(10) {
		c := configWithFaults(seed)
		c.ChecksFencing = false
		c.NewController = controllerWithOrders(func(cfg order.Config) controller.OrderPlanner { return uniqueIDs{newOrderCore(cfg)} })
		stale += Run(c).Result.Stale
	}
	if stale == 0 {
		t.Fatal("no order of an earlier holder took effect")
	}
}

// newOrderCore returns the real order planner.
func newOrderCore(cfg order.Config) *order.Core {
	o, err := order.New(cfg)
	if err != nil {
		panic(err)
	}
	return o
}

// controllerWithOrders returns a constructor of controllers with another order
// planner.
func controllerWithOrders(orders func(order.Config) controller.OrderPlanner) func(controller.Config) *controller.Core {
	return func(cfg controller.Config) *controller.Core {
		l, err := lease.New(cfg.Lease)
		if err != nil {
			panic(err)
		}
		return controller.NewWithCores(cfg, l, orders(cfg.Order))
	}
}

// naiveOrders sends each engine its whole difference at once, with loads and
// unloads in one order.
type naiveOrders struct {
	term       order.Term
	termActive bool
	desired    order.DesiredState
	engines    []order.Engine
	nextReadAt time.Duration
	lastToken  uint64
}

func (n *naiveOrders) InFlight() int { return 0 }

func (n *naiveOrders) Dump(time.Duration, int) order.Dump { return order.Dump{} }

func (n *naiveOrders) Step(now time.Duration, event order.Event) []order.Effect {
	var effects []order.Effect
	switch e := event.(type) {
	case order.Term:
		n.term, n.termActive = e, true
	case order.TermEnded:
		n.termActive = false
	case order.DesiredStateChanged:
		n.desired = e.Desired
	case order.EnginesListed:
		n.engines = e.Engines
	case order.StatusRead:
		if !e.Failed && n.termActive {
			effects = n.orderDifference(now, e)
		}
	}
	if n.termActive && now >= n.nextReadAt {
		n.nextReadAt = now + time.Second
		for _, e := range n.engines {
			effects = append(effects, order.ReadStatus{Engine: e.Name, Address: e.Address})
		}
	}
	return effects
}

// orderDifference returns one order that brings the engine to the desired
// state.
func (n *naiveOrders) orderDifference(now time.Duration, e order.StatusRead) []order.Effect {
	var desired []string
	for _, m := range n.desired.Models {
		desired = append(desired, m.Name+"@"+m.Version)
	}
	held := append(e.Status.Models, e.Status.Loading...)
	n.lastToken++
	s := order.SendOrder{
		Engine: e.Engine, Token: n.lastToken, Fencing: n.term.Fencing,
		ID: fmt.Sprintf("%d-%d", n.term.Fencing, n.lastToken), NotAfter: min(n.term.Until, now+time.Second),
	}
	for _, name := range desired {
		if !slices.Contains(held, name) {
			s.Load = append(s.Load, name)
		}
	}
	for _, name := range held {
		if !slices.Contains(desired, name) {
			s.Unload = append(s.Unload, name)
		}
	}
	if len(s.Load)+len(s.Unload) == 0 {
		return nil
	}
	return []order.Effect{s}
}

// TestNaiveOrdersUnloadModelsFromAllEngines shows that the check that no order
// unloads a model from the last engine that serves it can fail.
func TestNaiveOrdersUnloadModelsFromAllEngines(t *testing.T) {
	c := configWithFaults(1)
	c.Faults = Faults{}
	c.NewController = controllerWithOrders(func(order.Config) controller.OrderPlanner { return &naiveOrders{} })
	r := Run(c).Result
	if !strings.Contains(strings.Join(r.Violations, "\n"), "no engine serves") {
		t.Errorf("the naive orders left every model on some engine: %s", describe(r))
	}
}
