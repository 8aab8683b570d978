// Package registry reads and writes the accepted configuration in the
// platform's object API.
//
// A configuration is accepted by the conditional update of the manifest. The
// parts that the manifest names are written before it. A part that the manifest
// does not name is unused, and RemoveUnusedParts removes it. Removing parts is
// safe while other operators submit changes. A submission first reads the
// manifest of its base and then writes every part that this manifest does not
// name, and RemoveUnusedParts keeps all parts written after the manifest by
// which it decides.
package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// ErrNoConfiguration means that no configuration was accepted yet.
var ErrNoConfiguration = errors.New("no configuration was accepted yet")

// Bounds of the retries of calls to the object API. The wait between two calls
// starts at retryMin and doubles up to retryMax.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
	// maxTries is the largest number of calls made for one read or write.
	maxTries = 10
)

// Accepted is the accepted configuration together with its manifest.
type Accepted struct {
	Manifest      configuration.Manifest
	Configuration intent.Configuration
}

// Read returns the accepted configuration, or ErrNoConfiguration if there is
// none. It reads the manifest again when a part no longer exists, because a
// newer version may have been accepted in between.
func Read(ctx context.Context, store platform.Store) (Accepted, error) {
	for range maxTries {
		m, _, err := ReadManifest(ctx, store)
		if err != nil {
			return Accepted{}, err
		}
		if m.Change.Version == 0 {
			return Accepted{}, ErrNoConfiguration
		}
		parts, err := readParts(ctx, store, m)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return Accepted{}, err
		}
		c, err := configuration.Join(m, parts)
		return Accepted{Manifest: m, Configuration: c}, err
	}
	return Accepted{}, errors.Errorf("read the configuration: its parts were replaced or lost %d times", maxTries)
}

// ReadManifest returns the manifest and the version of its object in the object
// API. Both are zero if no configuration was accepted yet.
func ReadManifest(ctx context.Context, store platform.Store) (configuration.Manifest, uint64, error) {
	o, err := get(ctx, store, configuration.ManifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return configuration.Manifest{}, 0, nil
	}
	if err != nil {
		return configuration.Manifest{}, 0, errors.Wrap(err, "read the manifest")
	}
	m, err := configuration.ParseManifest(o.Value)
	return m, o.Version, err
}

// readParts reads all parts that the manifest names and returns their content
// by hash.
func readParts(ctx context.Context, store platform.Store, m configuration.Manifest) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(m.Parts))
	for _, hash := range m.Parts {
		o, err := get(ctx, store, configuration.PartKey(hash))
		if err != nil {
			return nil, errors.Wrap(err, "read a part of the configuration")
		}
		parts[hash] = o.Value
	}
	return parts, nil
}

// get reads an object, with retries on all errors except platform.ErrNotFound.
func get(ctx context.Context, store platform.Store, key string) (platform.Object, error) {
	var o platform.Object
	err := retry(ctx, func() (err error) {
		o, err = store.Get(ctx, key)
		return err
	}, func(err error) bool { return !errors.Is(err, platform.ErrNotFound) })
	return o, err
}

// retry repeats a call until it succeeds, it fails with an error for which
// retryable returns false, maxTries calls were made, or the context is done. It
// returns the last error of the call.
func retry(ctx context.Context, call func() error, retryable func(error) bool) error {
	wait := retryMin
	for try := 1; ; try++ {
		err := call()
		if err == nil || !retryable(err) || try == maxTries {
			return err
		}
		if !sleep(ctx, wait) {
			return err
		}
		wait = min(2*wait, retryMax)
	}
}

// sleep waits for the given time and returns true, or returns false as soon as
// the context is done.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// hadNoEffect reports whether a call that failed with err certainly had no
// effect, so that it may be repeated without a check of what is stored.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrUnavailable)
}
