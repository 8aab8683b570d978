package process

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// configurationFollower reads the accepted configuration from the object API.
// It watches the manifest and reads only the parts that it does not have yet.
// Only one call of read may run at a time.
type configurationFollower struct {
	store platform.Store
	// countCall is called once for each call to the object API.
	countCall func(kind, object string)
	// manifest is the manifest as last read. manifestVersion is the version of
	// its object; 0 makes the next call read the manifest again instead of
	// watching it.
	manifest        configuration.Manifest
	manifestVersion uint64
	// parts holds the parts that the manifest names, by their hash.
	parts map[string][]byte
}

// newConfigurationFollower returns a follower that has not read the manifest
// yet. It reports each call to the object API to count.
func newConfigurationFollower(store platform.Store, count func(kind, object string)) *configurationFollower {
	return &configurationFollower{store: store, countCall: count, parts: make(map[string][]byte)}
}

// read answers a ReadConfiguration. After an error, the next call reads the
// manifest again instead of watching it; if the watch hung, this uses another
// connection.
func (f *configurationFollower) read(ctx context.Context, r controller.ReadConfiguration) (controller.ConfigurationRead, error) {
	if err := f.refreshManifest(ctx, r); err != nil {
		f.manifestVersion = 0
		return controller.ConfigurationRead{}, err
	}
	read := controller.ConfigurationRead{Version: f.manifest.Change.Version}
	if read.Version <= r.Above {
		return read, nil
	}
	if err := f.fetchParts(ctx); err != nil {
		f.manifestVersion = 0
		return controller.ConfigurationRead{}, err
	}
	c, err := configuration.Join(f.manifest, f.parts)
	read.Configuration = &c
	return read, err
}

// refreshManifest brings the manifest up to date. If the known manifest's
// version is not above the one that the caller already has, it waits for a
// change.
func (f *configurationFollower) refreshManifest(ctx context.Context, r controller.ReadConfiguration) error {
	if f.manifestVersion == 0 || f.manifest.Change.Version > r.Above {
		f.countCall("get", "manifest")
		o, err := f.store.Get(ctx, configuration.ManifestKey)
		if errors.Is(err, platform.ErrNotFound) {
			f.manifest = configuration.Manifest{}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the manifest")
		}
		return f.setManifest(o)
	}
	f.countCall("watch", "manifest")
	changed, _, err := f.store.Watch(ctx, configuration.ManifestKey, f.manifestVersion, r.Wait)
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
		if err := f.setManifest(o); err != nil {
			return err
		}
	}
	return nil
}

// setManifest decodes and stores the manifest of an object that was read.
func (f *configurationFollower) setManifest(o platform.Object) error {
	m, err := configuration.ParseManifest(o.Value)
	if err != nil {
		return err
	}
	f.manifest, f.manifestVersion = m, o.Version
	return nil
}

// fetchParts reads the parts that are missing and drops those that the manifest
// no longer names.
func (f *configurationFollower) fetchParts(ctx context.Context) error {
	parts := make(map[string][]byte, len(f.manifest.Parts))
	for _, hash := range f.manifest.Parts {
		body, ok := f.parts[hash]
		if !ok {
			f.countCall("get", "part")
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
