package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// fleet answers a Core as engines that load at once would.
type fleet struct {
	core  *Core
	now   time.Duration
	holds map[string]*Status
	sent  []SendOrder
}

func newFleet(t testing.TB, engines, models int) *fleet {
	t.Helper()
	core, err := New(DefaultConfig(1))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{core: core, holds: make(map[string]*Status)}
	var list []Engine
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("engine-%03d", i)}
		list = append(list, e)
		f.holds[e.Name] = &Status{}
	}
	f.step(EnginesListed{Engines: list})
	f.step(DesiredStateChanged{Desired: f.desired(1, "1", models)})
	f.step(Term{Fencing: 1, Until: 1000 * time.Hour})
	return f
}

func (f *fleet) desired(number uint64, version string, models int) DesiredState {
	c := intent.New()
	c.AddDataCentres("region", "dc")
	for i := range models {
		c.AddModel(intent.NewModel(fmt.Sprintf("model-%02d", i), version, 1000).PlacedIn("dc", 3))
	}
	return DesiredStateFor("dc", number, *c)
}

func (f *fleet) step(e Event) {
	for _, effect := range f.core.Step(f.now, e) {
		switch s := effect.(type) {
		case ReadStatus:
			f.step(StatusRead{Engine: s.Engine, Token: s.Token, Status: *f.holds[s.Engine]})
		case SendOrder:
			f.sent = append(f.sent, s)
			f.run(s)
			f.step(OrderDone{Engine: s.Engine, Token: s.Token})
		}
	}
}

func (f *fleet) run(s SendOrder) {
	holds := f.holds[s.Engine]
	models := slices.DeleteFunc(slices.Clone(holds.Models), func(m string) bool { return slices.Contains(s.Unload, m) })
	*holds = Status{Models: append(models, s.Load...), LastOrder: s.ID, LastFencing: s.Fencing}
}

// rest lets time pass until no order was sent for a while.
func (f *fleet) rest(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.step(Tick{})
	}
}

// TestNothingIsOrderedOnceAllIsThere also counts the engines of each model.
func TestNothingIsOrderedOnceAllIsThere(t *testing.T) {
	f := newFleet(t, 12, 4)
	f.rest(2 * time.Minute)
	f.sent = nil
	f.rest(5 * time.Minute)
	if len(f.sent) != 0 {
		t.Fatalf("ordered for nothing: %+v", f.sent)
	}
	count := make(map[string]int)
	for _, s := range f.holds {
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

// TestUndeclaredDataCentreIsLeftAlone: a configuration without it unloads nothing.
func TestUndeclaredDataCentreIsLeftAlone(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.rest(time.Minute)
	f.sent = nil
	f.step(DesiredStateChanged{Desired: DesiredStateFor("dc", 2, *intent.New())})
	f.rest(time.Minute)
	if len(f.sent) != 0 {
		t.Fatalf("ordered %+v", f.sent)
	}
}

// TestOlderConfigurationIsPassedOver never goes back.
func TestOlderConfigurationIsPassedOver(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.step(DesiredStateChanged{Desired: f.desired(3, "3", 2)})
	f.step(DesiredStateChanged{Desired: f.desired(2, "2", 2)})
	f.rest(time.Minute)
	for name, s := range f.holds {
		for _, m := range s.Models {
			if _, version, _ := split(m); version != "3" {
				t.Errorf("%s holds %s", name, m)
			}
		}
	}
}

// BenchmarkPlan plans at the aim's size of one data centre.
func BenchmarkPlan(b *testing.B) {
	f := newFleet(b, 331, 30)
	f.rest(5 * time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		f.core.planAt = f.now
		f.core.Step(f.now, Tick{})
	}
}

// BenchmarkTick is what passes ten times a second with nothing to do.
func BenchmarkTick(b *testing.B) {
	f := newFleet(b, 331, 30)
	f.rest(5 * time.Minute)
	f.core.planAt = 1000 * time.Hour
	b.ReportAllocs()
	for b.Loop() {
		f.core.Step(f.now, Tick{})
	}
}
