// Package platform declares the interface to the platform's object API and
// implements a client of it over HTTP. The system stores its configuration,
// claims, leases and status in the object API.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the object API accepts,
// in bytes.
const MaxValueBytes = 1 << 20

// Errors that a Store returns. Callers treat every other error as ErrUnknown.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version differs from the base version given.
	ErrConflict = errors.New("object version conflict")
	// ErrThrottled means that the object API refused the call because of its
	// rate limit; the call had no effect.
	ErrThrottled = errors.New("object API rate limit reached")
	// ErrUnavailable means that the call was refused or never sent; it had no effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrUnknown means that the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("object API answer lost")
)

// Object is one stored value with its key and version.
type Object struct {
	Key string `json:"key"`
	// Version is the store's version at the object's last change. The store's
	// version rises by at least one with every change of any object.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted is true for an object that was removed; only Watch returns such objects.
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's object API: a key-value store with conditional writes
// and watches.
type Store interface {
	// Get returns the object with the key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object still has the version base, which the
	// caller has read before; 0 creates the object. It returns the object with
	// its new version, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, base uint64) (Object, error)
	// Delete removes the object if it still has the version base. Otherwise it
	// returns ErrConflict, or ErrNotFound if there is no such object.
	Delete(ctx context.Context, key string, base uint64) error
	// List returns the objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits up to wait for changes to keys that start with prefix and are
	// later than the version after. It returns the changed objects and the
	// version up to which they are complete. An empty result means that the
	// wait passed without a change.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Host is one entry of the platform's list of hosts and upstreams. The platform
// updates the list with a delay, so it may be out of date.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Role is "entry" for a host of this system, "engine" or "service" for an upstream.
	Role string `json:"role"`
	// Service is the name of the plain service that an upstream with the role
	// "service" serves.
	Service string `json:"service,omitempty"`
	// Leaving is true once the platform is about to remove the host.
	Leaving bool `json:"leaving"`
}

// Directory is the platform's list of hosts and upstreams. It holds the live ones
// and those that are leaving.
type Directory interface {
	// Hosts returns the current list of the platform.
	Hosts(ctx context.Context) ([]Host, error)
}
