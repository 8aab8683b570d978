package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// simulatedFleet answers a Core like a set of engines that finish every load
// immediately.
type simulatedFleet struct {
	core     *Core
	now      time.Duration
	statuses map[string]*Status
	sent     []SendOrder
}

// newFleet returns a fleet of empty engines. Its Core is in a term, and the
// desired state has each of the models on three engines.
func newFleet(t testing.TB, engines, models int) *simulatedFleet {
	t.Helper()
	core, err := New(DefaultConfig(1))
	if err != nil {
		t.Fatal(err)
	}
	f := &simulatedFleet{core: core, statuses: make(map[string]*Status)}
	var list []Engine
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("engine-%03d", i)}
		list = append(list, e)
		f.statuses[e.Name] = &Status{}
	}
	f.step(EnginesListed{Engines: list})
	f.step(DesiredStateChanged{Desired: f.desired(1, "1", models)})
	f.step(Term{Fencing: 1, Until: 1000 * time.Hour})
	return f
}

// desired returns the desired state of a configuration with the given number of
// models. number is the version of the configuration, and version that of all
// models.
func (f *simulatedFleet) desired(number uint64, version string, models int) DesiredState {
	c := intent.New()
	c.AddDataCentres("region", "dc")
	for i := range models {
		c.AddModel(intent.NewModel(fmt.Sprintf("model-%02d", i), version, 1000).PlacedIn("dc", 3))
	}
	return DesiredStateFor("dc", number, *c)
}

// step passes one event to the Core and answers the resulting effects.
func (f *simulatedFleet) step(e Event) {
	for _, effect := range f.core.Step(f.now, e) {
		switch s := effect.(type) {
		case ReadStatus:
			f.step(StatusRead{Engine: s.Engine, Token: s.Token, Status: *f.statuses[s.Engine]})
		case SendOrder:
			f.sent = append(f.sent, s)
			f.runOrder(s)
			f.step(OrderDone{Engine: s.Engine, Token: s.Token})
		}
	}
}

// runOrder applies an order to the simulated engine.
func (f *simulatedFleet) runOrder(s SendOrder) {
	status := f.statuses[s.Engine]
	models := slices.DeleteFunc(slices.Clone(status.Models), func(m string) bool { return slices.Contains(s.Unload, m) })
	*status = Status{Models: append(models, s.Load...), LastOrder: s.ID, LastFencing: s.Fencing}
}

// advance lets the given time pass in steps of 100 ms.
func (f *simulatedFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.step(Tick{})
	}
}

// TestNoOrdersOnceModelsAreLoaded checks that no order follows once every model
// is loaded, and that each model is then on the desired number of engines.
func TestNoOrdersOnceModelsAreLoaded(t *testing.T) {
	f := newFleet(t, 12, 4)
	f.advance(2 * time.Minute)
	f.sent = nil
	f.advance(5 * time.Minute)
	if len(f.sent) != 0 {
		t.Fatalf("orders although every model is loaded: %+v", f.sent)
	}
	count := make(map[string]int)
	for _, s := range f.statuses {
		for _, m := range s.Models {
			count[m]++
		}
	}
	for i := range 4 {
		if m := fmt.Sprintf("model-%02d@1", i); count[m] != 3 {
			t.Errorf("%s is on %d engines", m, count[m])
		}
	}
}

// TestUndeclaredDataCentreGetsNoOrders checks that a configuration that does
// not declare the data centre unloads nothing there.
func TestUndeclaredDataCentreGetsNoOrders(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.advance(time.Minute)
	f.sent = nil
	f.step(DesiredStateChanged{Desired: DesiredStateFor("dc", 2, *intent.New())})
	f.advance(time.Minute)
	if len(f.sent) != 0 {
		t.Fatalf("orders to a data centre that is not declared: %+v", f.sent)
	}
}

// TestOlderConfigurationIsIgnored checks that the planner does not return to an
// older configuration that arrives late.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.step(DesiredStateChanged{Desired: f.desired(3, "3", 2)})
	f.step(DesiredStateChanged{Desired: f.desired(2, "2", 2)})
	f.advance(time.Minute)
	for name, s := range f.statuses {
		for _, m := range s.Models {
			if _, version, _ := splitHeldName(m); version != "3" {
				t.Errorf("%s serves %s, want the newer version", name, m)
			}
		}
	}
}

// BenchmarkPlan measures one planning round for a data centre of the target
// size.
func BenchmarkPlan(b *testing.B) {
	f := newFleet(b, 331, 30)
	f.advance(5 * time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		f.core.nextPlanAt = f.now
		f.core.Step(f.now, Tick{})
	}
}

// BenchmarkTick measures a tick on which nothing is due; ten of them pass every
// second.
func BenchmarkTick(b *testing.B) {
	f := newFleet(b, 331, 30)
	f.advance(5 * time.Minute)
	f.core.nextPlanAt = 1000 * time.Hour
	b.ReportAllocs()
	for b.Loop() {
		f.core.Step(f.now, Tick{})
	}
}
