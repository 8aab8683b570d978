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

// failing is a platform whose every call ends with one error.
type failing struct{ err error }

func (f failing) Get(context.Context, string) (platform.Object, error) {
	return platform.Object{}, f.err
}

func (f failing) Put(context.Context, string, []byte, uint64) (platform.Object, error) {
	return platform.Object{}, f.err
}

func (f failing) Delete(context.Context, string, uint64) error { return f.err }

func (f failing) List(context.Context, string) ([]platform.Object, error) { return nil, f.err }

func (f failing) Watch(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, f.err
}

func (f failing) Hosts(context.Context) ([]platform.Host, error) { return nil, f.err }

func written(t *testing.T, set *telemetry.Registry) string {
	t.Helper()
	var b strings.Builder
	if err := set.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestStoreCallsAreCountedByKindAndResult makes one call of each kind for each
// error; the error must come through as it is.
func TestStoreCallsAreCountedByKindAndResult(t *testing.T) {
	results := map[string]error{
		"ok":          nil,
		"not_found":   platform.ErrNotFound,
		"conflict":    platform.ErrConflict,
		"throttled":   platform.ErrThrottled,
		"unavailable": platform.ErrUnavailable,
		"unknown":     platform.ErrUnknown,
	}
	set := telemetry.New()
	var want []string
	for result, err := range results {
		if err != nil {
			err = errors.Wrap(err, "call")
		}
		s := &countingStore{store: failing{err}, directory: failing{err}, metrics: set}
		for kind, got := range callAll(s) {
			if got != err {
				t.Errorf("%s: got error %v, want %v", kind, got, err)
			}
			want = append(want, `store_calls_total{kind="`+kind+`",result="`+result+`"} 1`)
		}
	}
	text := written(t, set)
	for _, line := range want {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("%s is missing", line)
		}
	}
	if n := strings.Count(text, "\n"); n != len(want) {
		t.Errorf("%d series, want %d", n, len(want))
	}
}

func callAll(s *countingStore) map[string]error {
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

// TestGaugesFollowTheCore sets the gauges twice: states without members are
// zero, and an engine without work of this host has no series any more.
func TestGaugesFollowTheCore(t *testing.T) {
	set := telemetry.New()
	g := gauges{metrics: set}
	g.show(map[wire.State]int{wire.Alive: 3, wire.Suspect: 1}, []dispatch.PeerWork{
		{Upstream: "e1", MemoryTokens: 700}, {Upstream: "e2", MemoryTokens: 20},
	})
	g.show(map[wire.State]int{wire.Alive: 4}, []dispatch.PeerWork{{Upstream: "e2", MemoryTokens: 50}})
	want := `members{state="alive"} 4
members{state="dead"} 0
members{state="leaving"} 0
members{state="suspect"} 0
own_memory_tokens{engine="e2"} 50
`
	if got := written(t, set); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
