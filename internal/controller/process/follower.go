package process

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// follower reads the accepted configuration from the object API: the manifest
// by a watch, and only those parts that it does not have yet. One call of read
// at a time.
type follower struct {
	store platform.Store
	// count is told of each call.
	count func(kind, object string)
	// manifest is as last read; object is its object's version, 0 to read it
	// anew.
	manifest configuration.Manifest
	object   uint64
	parts    map[string][]byte
}

func newFollower(store platform.Store, count func(kind, object string)) *follower {
	return &follower{store: store, count: count, parts: make(map[string][]byte)}
}

// read answers a ReadConfiguration. After an error the manifest is read anew,
// on another connection if the watch was silent.
func (f *follower) read(ctx context.Context, r controller.ReadConfiguration) (controller.ConfigurationRead, error) {
	if err := f.refresh(ctx, r); err != nil {
		f.object = 0
		return controller.ConfigurationRead{}, err
	}
	read := controller.ConfigurationRead{Version: f.manifest.Change.Version}
	if read.Version <= r.Above {
		return read, nil
	}
	if err := f.fetch(ctx); err != nil {
		f.object = 0
		return controller.ConfigurationRead{}, err
	}
	c, err := configuration.Join(f.manifest, f.parts)
	read.Configuration = &c
	return read, err
}

// refresh brings the manifest up to date, waiting for a change if the one it
// has is already followed.
func (f *follower) refresh(ctx context.Context, r controller.ReadConfiguration) error {
	if f.object == 0 || f.manifest.Change.Version > r.Above {
		f.count("get", "manifest")
		o, err := f.store.Get(ctx, configuration.ManifestKey)
		if errors.Is(err, platform.ErrNotFound) {
			f.manifest = configuration.Manifest{}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the manifest")
		}
		return f.take(o)
	}
	f.count("watch", "manifest")
	changed, _, err := f.store.Watch(ctx, configuration.ManifestKey, f.object, r.Wait)
	if err != nil {
		return errors.Wrap(err, "watch the manifest")
	}
	for _, o := range changed {
		if o.Key != configuration.ManifestKey {
			continue
		}
		if o.Deleted {
			return errors.New("the manifest was removed")
		}
		if err := f.take(o); err != nil {
			return err
		}
	}
	return nil
}

func (f *follower) take(o platform.Object) error {
	m, err := configuration.ParseManifest(o.Value)
	if err != nil {
		return err
	}
	f.manifest, f.object = m, o.Version
	return nil
}

// fetch reads the parts that are lacking and drops those no longer named.
func (f *follower) fetch(ctx context.Context) error {
	parts := make(map[string][]byte, len(f.manifest.Parts))
	for _, hash := range f.manifest.Parts {
		body, ok := f.parts[hash]
		if !ok {
			f.count("get", "part")
			o, err := f.store.Get(ctx, configuration.PartKey(hash))
			if err != nil {
				return errors.Wrap(err, "read a part of the configuration")
			}
			body = o.Value
		}
		parts[hash] = body
	}
	f.parts = parts
	return nil
}
