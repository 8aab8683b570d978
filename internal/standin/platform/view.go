package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// View implements platform.Store and platform.Directory for callers in one data
// centre, on top of the stand-in.
type View struct {
	store      *Store
	dataCentre string
}

// Get returns one object, or ErrNotFound if there is none.
func (v *View) Get(ctx context.Context, key string) (platform.Object, error) {
	var object platform.Object
	err := v.callLocked(ctx, KindGet, func(s *Store) (err error) {
		object, err = s.objects.Get(key)
		s.stats.BytesRead += len(object.Value)
		return err
	})
	return valueOrError(object, err)
}

// Put writes the value if the object's present version is base.
func (v *View) Put(ctx context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	var object platform.Object
	err := v.callLocked(ctx, KindPut, func(s *Store) (err error) {
		object, err = s.objects.Put(key, value, base)
		s.recordWrite(len(value), err)
		return err
	})
	return valueOrError(object, err)
}

// Delete removes the object if its present version is base.
func (v *View) Delete(ctx context.Context, key string, base uint64) error {
	return v.callLocked(ctx, KindDelete, func(s *Store) error {
		err := s.objects.Delete(key, base)
		s.recordWrite(0, err)
		return err
	})
}

// List returns the objects whose keys start with prefix, ordered by key.
func (v *View) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	var objects []platform.Object
	err := v.callLocked(ctx, KindList, func(s *Store) error {
		objects = s.objects.List(prefix)
		s.countBytesRead(objects)
		return nil
	})
	return valueOrError(objects, err)
}

// Watch waits for changes under prefix that are later than the version after, at
// most for the duration wait. It returns the changed objects and the version up
// to which they are complete.
func (v *View) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	var objects []platform.Object
	var reached uint64
	err := v.store.call(ctx, v.dataCentre, KindWatch, func() error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			var changed chan struct{}
			objects, reached, changed = v.store.changesSince(prefix, after)
			if len(objects) > 0 {
				return nil
			}
			select {
			case <-changed:
			case <-timer.C:
				return nil
			case <-ctx.Done():
				return platform.ErrUnknown
			}
		}
	})
	if err != nil {
		return nil, 0, err
	}
	return objects, reached, nil
}

// Hosts returns the visible list of hosts, with the addresses that apply in the
// view's data centre.
func (v *View) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := v.callLocked(ctx, KindHosts, func(s *Store) error {
		hosts = s.hosts.visibleFrom(v.dataCentre, time.Now())
		return nil
	})
	return valueOrError(hosts, err)
}

// callLocked runs apply as one call while it holds the lock of the store.
func (v *View) callLocked(ctx context.Context, kind Kind, apply func(*Store) error) error {
	return v.store.call(ctx, v.dataCentre, kind, func() error {
		v.store.mu.Lock()
		defer v.store.mu.Unlock()
		return apply(v.store)
	})
}

// changesSince returns the objects under prefix that changed after a version,
// the version up to which they are complete, and a channel that is closed at the
// next change.
func (s *Store) changesSince(prefix string, after uint64) ([]platform.Object, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := s.objects.Since(prefix, after)
	s.countBytesRead(objects)
	return objects, s.objects.Version(), s.changed
}

// countBytesRead adds the size of the objects' values to the counts. The caller
// must hold the lock.
func (s *Store) countBytesRead(objects []platform.Object) {
	for _, object := range objects {
		s.stats.BytesRead += len(object.Value)
	}
}

// recordWrite counts a write by its result and wakes the watches if it
// succeeded. The caller must hold the lock.
func (s *Store) recordWrite(bytes int, err error) {
	if err == nil {
		s.stats.BytesWritten += bytes
		s.wakeWatches()
	}
	if errors.Is(err, platform.ErrConflict) {
		s.stats.Conflicts++
	}
}

// valueOrError returns the zero value if err is set, so that a value is not
// returned when the answer to its call was lost.
func valueOrError[T any](value T, err error) (T, error) {
	if err != nil {
		var none T
		return none, err
	}
	return value, nil
}
