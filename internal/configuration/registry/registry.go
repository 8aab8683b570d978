// Package registry reads and writes the accepted configuration in the
// platform's object API.
//
// The manifest's conditional update is the acceptance. Parts are written
// before it. A part that the manifest does not name is garbage; Sweep removes
// it, safely beside racing submissions, because a submission writes every part
// that its base does not name after it has read that base, and Sweep spares
// parts written later than the manifest that it goes by.
package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// ErrNoConfiguration says that no configuration was accepted yet.
var ErrNoConfiguration = errors.New("no configuration was accepted yet")

// Retries of calls to the object API.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
	// maxTries bounds the calls made for one read or write.
	maxTries = 10
)

// Accepted is the configuration in the object API.
type Accepted struct {
	Manifest      configuration.Manifest
	Configuration intent.Configuration
}

// Read returns the accepted configuration, or ErrNone.
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

// ReadManifest returns the manifest and its object version, both zero when no
// configuration was accepted yet.
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

// get reads an object and tries again while the object API does not answer.
func get(ctx context.Context, store platform.Store, key string) (platform.Object, error) {
	var o platform.Object
	err := retry(ctx, func() (err error) {
		o, err = store.Get(ctx, key)
		return err
	}, func(err error) bool { return !errors.Is(err, platform.ErrNotFound) })
	return o, err
}

// retry calls until there is no error, one that again does not want repeated,
// or the tries or the context are used up.
func retry(ctx context.Context, call func() error, again func(error) bool) error {
	wait := retryMin
	for try := 1; ; try++ {
		err := call()
		if err == nil || !again(err) || try == maxTries {
			return err
		}
		if !sleep(ctx, wait) {
			return err
		}
		wait = min(2*wait, retryMax)
	}
}

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

// hadNoEffect says whether a failed call may be repeated without reading back.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrUnavailable)
}
