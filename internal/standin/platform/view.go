package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// View is the stand-in as a platform.Store and platform.Directory for callers
// in one data centre.
type View struct {
	store      *Store
	dataCentre string
}

// Get returns one object or ErrNotFound.
func (v *View) Get(ctx context.Context, key string) (platform.Object, error) {
	var object platform.Object
	err := v.locked(ctx, KindGet, func(s *Store) (err error) {
		object, err = s.objects.Get(key)
		s.stats.BytesRead += len(object.Value)
		return err
	})
	return result(object, err)
}

// Put writes conditionally.
func (v *View) Put(ctx context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	var object platform.Object
	err := v.locked(ctx, KindPut, func(s *Store) (err error) {
		object, err = s.objects.Put(key, value, base)
		s.wrote(len(value), err)
		return err
	})
	return result(object, err)
}

// Delete removes conditionally.
func (v *View) Delete(ctx context.Context, key string, base uint64) error {
	return v.locked(ctx, KindDelete, func(s *Store) error {
		err := s.objects.Delete(key, base)
		s.wrote(0, err)
		return err
	})
}

// List returns the objects whose keys start with prefix, ordered by key.
func (v *View) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	var objects []platform.Object
	err := v.locked(ctx, KindList, func(s *Store) error {
		objects = s.objects.List(prefix)
		s.read(objects)
		return nil
	})
	return result(objects, err)
}

// Watch waits up to wait for changes under prefix later than version after.
func (v *View) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	var objects []platform.Object
	var reached uint64
	err := v.store.call(ctx, v.dataCentre, KindWatch, func() error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			var changed chan struct{}
			objects, reached, changed = v.store.since(prefix, after)
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

// Hosts returns the visible host list with addresses as seen from the view's data centre.
func (v *View) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := v.locked(ctx, KindHosts, func(s *Store) error {
		hosts = s.hosts.view(v.dataCentre, time.Now())
		return nil
	})
	return result(hosts, err)
}

func (v *View) locked(ctx context.Context, kind Kind, apply func(*Store) error) error {
	return v.store.call(ctx, v.dataCentre, kind, func() error {
		v.store.mu.Lock()
		defer v.store.mu.Unlock()
		return apply(v.store)
	})
}

func (s *Store) since(prefix string, after uint64) ([]platform.Object, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := s.objects.Since(prefix, after)
	s.read(objects)
	return objects, s.objects.Version(), s.changed
}

// read and wrote count; the caller holds the lock.
func (s *Store) read(objects []platform.Object) {
	for _, object := range objects {
		s.stats.BytesRead += len(object.Value)
	}
}

func (s *Store) wrote(bytes int, err error) {
	if err == nil {
		s.stats.BytesWritten += bytes
		s.notify()
	}
	if errors.Is(err, platform.ErrConflict) {
		s.stats.Conflicts++
	}
}

// result drops what a call computed when its answer does not arrive.
func result[T any](value T, err error) (T, error) {
	if err != nil {
		var none T
		return none, err
	}
	return value, nil
}
