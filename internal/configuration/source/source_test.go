package source

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// hangingStore is an object API that answers reads of two parts, one of which
// does not exist. All its other calls block until their context is done.
type hangingStore struct{ platform.Store }

func (hangingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	switch key {
	case configuration.PartKey("held"):
		return platform.Object{Key: key, Value: []byte("content")}, nil
	case configuration.PartKey("gone"):
		return platform.Object{}, platform.ErrNotFound
	}
	<-ctx.Done()
	return platform.Object{}, platform.ErrUnknown
}

func (hangingStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]platform.Object, uint64, error) {
	<-ctx.Done()
	return nil, 0, platform.ErrUnknown
}

// TestFetchOmitsMissingParts checks that a read of an existing and a missing
// part succeeds with the existing one.
func TestFetchOmitsMissingParts(t *testing.T) {
	defer goleak.VerifyNone(t)
	events := make(chan configuration.Event, 1)
	s := New(hangingStore{}, func(e configuration.Event) { events <- e })
	defer s.Close()
	s.Execute(configuration.FetchFromStore{ID: 7, Parts: []string{"held", "gone"}, Timeout: time.Minute})
	r := (<-events).(configuration.StoreFetchResult)
	if r.ID != 7 || r.Outcome != configuration.OutcomeAnswered || len(r.Parts) != 1 || r.Parts[0].Hash != "held" {
		t.Errorf("unexpected result %+v", r)
	}
}

// TestHangingCallsEndOnTimeoutAndCancel guards against calls and goroutines
// that stay when the object API does not answer. A read must end at its
// timeout, a watch when it is cancelled, and everything when the Source is
// closed.
func TestHangingCallsEndOnTimeoutAndCancel(t *testing.T) {
	defer goleak.VerifyNone(t)
	events := make(chan configuration.Event, 3)
	s := New(hangingStore{}, func(e configuration.Event) { events <- e })
	s.Execute(configuration.FetchFromStore{ID: 1, Manifest: true, Timeout: time.Millisecond})
	if r := (<-events).(configuration.StoreFetchResult); r.Outcome != configuration.OutcomeFailed {
		t.Errorf("unexpected result %+v", r)
	}
	s.Execute(configuration.StartWatch{ID: 2, Wait: time.Minute})
	s.Execute(configuration.CancelWatch{ID: 2})
	if r := (<-events).(configuration.WatchResult); r.Outcome != configuration.OutcomeFailed {
		t.Errorf("unexpected result %+v", r)
	}
	s.Execute(configuration.StartWatch{ID: 3, Wait: time.Minute})
	s.Close()
	if s.Execute(configuration.Announce{}) {
		t.Error("Execute accepted an effect that does not concern the object API")
	}
}
