// Package source carries out the effects of a configuration.Tracker that
// concern the platform's object API, and posts their results as events of the
// Tracker. It also writes the Tracker's reports to the log.
package source

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// Source makes each call to the object API in a goroutine of its own. Its
// methods must be called from one goroutine only.
type Source struct {
	store   platform.Store
	post    func(configuration.Event)
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	watches map[uint64]context.CancelFunc
}

// New returns a Source that calls the given store and passes the results to
// post. It calls post from several goroutines; post must not block for long.
func New(store platform.Store, post func(configuration.Event)) *Source {
	ctx, stop := context.WithCancel(context.Background())
	return &Source{store: store, post: post, ctx: ctx, stop: stop, watches: make(map[uint64]context.CancelFunc)}
}

// Close cancels all calls in progress and waits until they have ended.
func (s *Source) Close() {
	s.stop()
	s.running.Wait()
}

// Execute starts to carry out an effect, and returns false if the effect does
// not concern the object API.
func (s *Source) Execute(e configuration.Effect) bool {
	switch e := e.(type) {
	case configuration.StartWatch:
		s.startWatch(e)
	case configuration.CancelWatch:
		s.cancelWatch(e.ID)
	case configuration.FetchFromStore:
		s.running.Go(func() { s.post(s.fetch(e)) })
	default:
		return false
	}
	return true
}

// startWatch starts a watch. The Tracker has only one watch at a time, so all
// earlier watches are cancelled.
func (s *Source) startWatch(e configuration.StartWatch) {
	for id := range s.watches {
		s.cancelWatch(id)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.watches[e.ID] = cancel
	s.running.Go(func() {
		defer cancel()
		s.post(s.watch(ctx, e))
	})
}

// cancelWatch cancels the watch with the given id, if it is open.
func (s *Source) cancelWatch(id uint64) {
	if cancel, ok := s.watches[id]; ok {
		cancel()
		delete(s.watches, id)
	}
}

// watch waits for a change of the manifest and returns the result. A removed
// manifest is treated as unchanged.
func (s *Source) watch(ctx context.Context, e configuration.StartWatch) configuration.WatchResult {
	objects, reached, err := s.store.Watch(ctx, configuration.ManifestKey, e.AfterStoreVersion, e.Wait)
	if err != nil {
		return configuration.WatchResult{ID: e.ID, Outcome: configuration.OutcomeFailed}
	}
	result := configuration.WatchResult{ID: e.ID, ReachedStoreVersion: reached}
	for _, o := range objects {
		if o.Key == configuration.ManifestKey && !o.Deleted {
			result.Manifest = o.Value
		}
	}
	return result
}

// fetch reads the manifest and the parts that the effect names. Objects that do
// not exist are left out of the result; any other error makes the whole read
// fail.
func (s *Source) fetch(e configuration.FetchFromStore) configuration.StoreFetchResult {
	failed := configuration.StoreFetchResult{ID: e.ID, Outcome: configuration.OutcomeFailed}
	result := configuration.StoreFetchResult{ID: e.ID}
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	if e.Manifest {
		o, err := s.store.Get(ctx, configuration.ManifestKey)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return failed
		}
		result.Manifest = o.Value
	}
	for _, hash := range e.Parts {
		o, err := s.store.Get(ctx, configuration.PartKey(hash))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return failed
		}
		result.Parts = append(result.Parts, configuration.Part{Hash: hash, Bytes: o.Value})
	}
	return result
}
