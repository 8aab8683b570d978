// Package platform is the interface to the platform's object API and its
// HTTP adapter. Configuration, claims, leases and status live there.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value the object API accepts.
const MaxValueBytes = 1 << 20

// Errors of a Store. Every other error counts as ErrUnknown.
var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version differs from the base given.
	ErrConflict = errors.New("object version conflict")
	// ErrThrottled says that the call was refused for its rate; it had no effect.
	ErrThrottled = errors.New("object API rate limit reached")
	// ErrUnavailable says that the call was refused or never sent; it had no effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrUnknown says that the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("object API answer lost")
)

// Object is one stored value.
type Object struct {
	Key string `json:"key"`
	// Version rises by at least one with every change of any object in the store.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted marks a removal in the result of Watch.
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's object API.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes conditionally: base is the version read before, 0 to create.
	// It returns the object with its new version, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, base uint64) (Object, error)
	// Delete removes conditionally.
	Delete(ctx context.Context, key string, base uint64) error
	// List returns the objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits up to wait for changes under prefix later than version
	// after, and returns them with the version reached. An empty result
	// means that the wait passed without a change.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Host is one entry of the platform's list of hosts and upstreams. The list
// lags behind reality.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Role is "entry", "engine" or "service".
	Role string `json:"role"`
	// Service names the plain service that an upstream of that role serves.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving"`
}

// Directory is the platform's list of live and leaving hosts.
type Directory interface {
	// Hosts returns the list as the platform sees it now.
	Hosts(ctx context.Context) ([]Host, error)
}
