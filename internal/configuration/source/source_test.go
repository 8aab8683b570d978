package source

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// hanging answers for one part and hangs at everything else.
type hanging struct{ platform.Store }

func (hanging) Get(ctx context.Context, key string) (platform.Object, error) {
	switch key {
	case configuration.PartKey("held"):
		return platform.Object{Key: key, Value: []byte("content")}, nil
	case configuration.PartKey("gone"):
		return platform.Object{}, platform.ErrNotFound
	}
	<-ctx.Done()
	return platform.Object{}, platform.ErrUnknown
}

func (hanging) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]platform.Object, uint64, error) {
	<-ctx.Done()
	return nil, 0, platform.ErrUnknown
}

func TestFetchLeavesOutWhatIsGone(t *testing.T) {
	defer goleak.VerifyNone(t)
	events := make(chan configuration.Event, 1)
	s := New(hanging{}, func(e configuration.Event) { events <- e })
	defer s.Close()
	s.Execute(configuration.FetchFromStore{ID: 7, Parts: []string{"held", "gone"}, Timeout: time.Minute})
	r := (<-events).(configuration.StoreFetchResult)
	if r.ID != 7 || r.Outcome != configuration.OutcomeAnswered || len(r.Parts) != 1 || r.Parts[0].Hash != "held" {
		t.Errorf("result %+v", r)
	}
}

func TestHangingCallsEnd(t *testing.T) {
	defer goleak.VerifyNone(t)
	events := make(chan configuration.Event, 3)
	s := New(hanging{}, func(e configuration.Event) { events <- e })
	s.Execute(configuration.FetchFromStore{ID: 1, Manifest: true, Timeout: time.Millisecond})
	if r := (<-events).(configuration.StoreFetchResult); r.Outcome != configuration.OutcomeFailed {
		t.Errorf("result %+v", r)
	}
	s.Execute(configuration.StartWatch{ID: 2, Wait: time.Minute})
	s.Execute(configuration.CancelWatch{ID: 2})
	if r := (<-events).(configuration.WatchResult); r.Outcome != configuration.OutcomeFailed {
		t.Errorf("result %+v", r)
	}
	s.Execute(configuration.StartWatch{ID: 3, Wait: time.Minute})
	s.Close()
	if s.Execute(configuration.Announce{}) {
		t.Error("took an effect for peers")
	}
}
