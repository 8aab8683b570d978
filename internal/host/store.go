package host

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

// Kinds of calls to the platform, as they appear in metrics.
const (
	callGet    = "get"
	callPut    = "put"
	callDelete = "delete"
	callList   = "list"
	callWatch  = "watch"
	callHosts  = "hosts"
)

// countingStore passes calls on to the platform, and counts each call by kind
// and result when it ends.
type countingStore struct {
	store     platform.Store
	directory platform.Directory
	metrics   *telemetry.Registry
}

// count adds a finished call to the metrics.
func (s *countingStore) count(kind string, err error) {
	s.metrics.Count("store_calls_total", 1, "kind", kind, "result", resultLabel(err))
}

// resultLabel returns the label in metrics for the result of a call.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrNotFound):
		return "not_found"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrThrottled):
		return "throttled"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}

// Get implements platform.Store.
func (s *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.store.Get(ctx, key)
	s.count(callGet, err)
	return o, err
}

// Put implements platform.Store.
func (s *countingStore) Put(ctx context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	o, err := s.store.Put(ctx, key, value, base)
	s.count(callPut, err)
	return o, err
}

// Delete implements platform.Store.
func (s *countingStore) Delete(ctx context.Context, key string, base uint64) error {
	err := s.store.Delete(ctx, key, base)
	s.count(callDelete, err)
	return err
}

// List implements platform.Store.
func (s *countingStore) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	objects, err := s.store.List(ctx, prefix)
	s.count(callList, err)
	return objects, err
}

// Watch implements platform.Store.
func (s *countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	objects, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.count(callWatch, err)
	return objects, revision, err
}

// Hosts implements platform.Directory.
func (s *countingStore) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := s.directory.Hosts(ctx)
	s.count(callHosts, err)
	return hosts, err
}
