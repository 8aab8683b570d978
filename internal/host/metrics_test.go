package host

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// failingPlatform is a platform whose every call returns the same error.
type failingPlatform struct{ err error }

func (f failingPlatform) Get(context.Context, string) (platform.Object, error) {
	return platform.Object{}, f.err
}

func (f failingPlatform) Put(context.Context, string, []byte, uint64) (platform.Object, error) {
	return platform.Object{}, f.err
}

func (f failingPlatform) Delete(context.Context, string, uint64) error { return f.err }

func (f failingPlatform) List(context.Context, string) ([]platform.Object, error) { return nil, f.err }

func (f failingPlatform) Watch(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, f.err
}

func (f failingPlatform) Hosts(context.Context) ([]platform.Host, error) { return nil, f.err }

// metricsText returns the metrics as text.
func metricsText(t *testing.T, registry *telemetry.Registry) string {
	t.Helper()
	var b strings.Builder
	if err := registry.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestStoreCallsAreCountedByKindAndResult makes one call of each kind for each
// result. The error must be returned unchanged.
func TestStoreCallsAreCountedByKindAndResult(t *testing.T) {
	results := map[string]error{
		"ok":          nil,
		"not_found":   platform.ErrNotFound,
		"conflict":    platform.ErrConflict,
		"throttled":   platform.ErrThrottled,
		"unavailable": platform.ErrUnavailable,
		"unknown":     platform.ErrUnknown,
	}
	registry := telemetry.New()
	var want []string
	for result, err := range results {
		if err != nil {
			err = errors.Wrap(err, "call")
		}
		s := &countingStore{store: failingPlatform{err}, directory: failingPlatform{err}, metrics: registry}
		for kind, got := range callEveryMethod(s) {
			if got != err {
				t.Errorf("%s: got error %v, want %v", kind, got, err)
			}
			want = append(want, `store_calls_total{kind="`+kind+`",result="`+result+`"} 1`)
		}
	}
	text := metricsText(t, registry)
	for _, line := range want {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("%s is missing", line)
		}
	}
	if n := strings.Count(text, "\n"); n != len(want) {
		t.Errorf("%d series, want %d", n, len(want))
	}
}

// callEveryMethod calls every method once and returns the errors, by kind of
// call.
func callEveryMethod(s *countingStore) map[string]error {
	ctx := context.Background()
	got := make(map[string]error)
	_, got["get"] = s.Get(ctx, "k")
	_, got["put"] = s.Put(ctx, "k", nil, 0)
	got["delete"] = s.Delete(ctx, "k", 0)
	_, got["list"] = s.List(ctx, "k")
	_, _, got["watch"] = s.Watch(ctx, "k", 0, time.Second)
	_, got["hosts"] = s.Hosts(ctx)
	return got
}

// TestGaugesShowLatestState updates the gauges twice. A state without members
// must show zero, and an engine that has no work of this host any more must
// have no series.
func TestGaugesShowLatestState(t *testing.T) {
	registry := telemetry.New()
	g := coreGauges{metrics: registry}
	g.update(map[wire.State]int{wire.Alive: 3, wire.Suspect: 1}, []dispatch.PeerWork{
		{Upstream: "e1", MemoryTokens: 700}, {Upstream: "e2", MemoryTokens: 20},
	})
	g.update(map[wire.State]int{wire.Alive: 4}, []dispatch.PeerWork{{Upstream: "e2", MemoryTokens: 50}})
	want := `members{state="alive"} 4
members{state="dead"} 0
members{state="leaving"} 0
members{state="suspect"} 0
own_memory_tokens{engine="e2"} 50
`
	if got := metricsText(t, registry); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
