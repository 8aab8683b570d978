package engine

import (
	"testing"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

func TestServesMatchesModelNames(t *testing.T) {
	m := newModelSet(Config{Models: []string{"judge@1", "judge@1+lima", "desk@3+accra"}})
	served := map[string]bool{
		"judge": true, "judge@1": true, "judge+lima": true, "judge@1+lima": true, "desk+accra": true,
		"judge@2": false, "judge+accra": false, "desk": false, "desk@3": false, "": false, "judg": false,
	}
	for name, want := range served {
		if got := m.serves(0, name); got != want {
			t.Errorf("serves %q: got %v", name, got)
		}
	}
}

func TestModelsLoadOneAfterAnother(t *testing.T) {
	m := newModelSet(Config{ModelLoadTime: time.Second})
	m.execute(0, api.Order{ID: "a", Load: []string{"judge@1", "judge@2"}})
	for at, want := range map[time.Duration]int{0: 0, time.Second: 1, 2 * time.Second: 2} {
		if got := len(m.loaded(at)); got != want || len(m.loading(at)) != 2-want {
			t.Errorf("%d models loaded at %v, want %d", got, at, want)
		}
	}
}

func TestDeadlineReleasesMemoryOnlyIfConfigured(t *testing.T) {
	for _, releases := range []bool{true, false} {
		c := DefaultConfig()
		c.ReleaseAtDeadline, c.ReportEvery = releases, time.Millisecond
		e, err := Start(c)
		if err != nil {
			t.Fatal(err)
		}
		running := e.currentInstance()
		running.mu.Lock()
		err = running.core.Reserve(running.elapsed(), api.Reservation{Work: api.WorkID{Request: "r"}, Tokens: 10, Deadline: time.Now()})
		before := running.report.Sequence
		running.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		for passed := false; !passed; time.Sleep(time.Millisecond) {
			running.mu.Lock()
			passed = running.report.Sequence > before+1
			running.mu.Unlock()
		}
		if held := e.Counters(false).Core.HeldTokens; (held == 0) != releases {
			t.Errorf("release at deadline %v: %d tokens held", releases, held)
		}
		e.Close()
	}
}

// TestLoadReportChangesOnlyWhenRefreshed checks that the load report is a
// snapshot, so that clients see changes late, as with a real engine.
func TestLoadReportChangesOnlyWhenRefreshed(t *testing.T) {
	c := DefaultConfig()
	c.ReportEvery = time.Hour
	e, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	running := e.currentInstance()
	reserve := func() int {
		running.mu.Lock()
		defer running.mu.Unlock()
		if err := running.core.Reserve(running.elapsed(), api.Reservation{Work: api.WorkID{Request: "r"}, Tokens: 10}); err != nil {
			t.Fatal(err)
		}
		return running.report.MemoryUsed
	}
	if used := reserve(); used != 0 {
		t.Fatalf("report shows %d tokens before it was refreshed, want 0", used)
	}
	running.refreshReport()
	if used := reserve(); used != 10 {
		t.Fatalf("refreshed report shows %d tokens, want 10", used)
	}
}
