package platform

import (
	"sort"
	"strings"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// Objects is the state of the stand-in: versioned values by key. It performs no
// I/O and is not safe for concurrent use. A removed key remains as an object
// marked Deleted, so that watches learn of the removal.
type Objects struct {
	byKey   map[string]platform.Object
	version uint64
}

// NewObjects returns a state without any objects.
func NewObjects() *Objects {
	return &Objects{byKey: make(map[string]platform.Object)}
}

// Version returns the version of the latest change, 0 before the first.
func (o *Objects) Version() uint64 {
	return o.version
}

// Get returns one object, or ErrNotFound if it is absent or removed.
func (o *Objects) Get(key string) (platform.Object, error) {
	object, ok := o.byKey[key]
	if !ok || object.Deleted {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

// Put writes the value if the object's present version is base, which is 0 for
// an absent object. Otherwise it returns ErrConflict, and ErrTooLarge for a
// value above MaxValueBytes.
func (o *Objects) Put(key string, value []byte, base uint64) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	if o.currentVersion(key) != base {
		return platform.Object{}, platform.ErrConflict
	}
	o.version++
	object := platform.Object{Key: key, Version: o.version, Value: append([]byte(nil), value...)}
	o.byKey[key] = object
	return object, nil
}

// Delete removes the object if its present version is base. Otherwise it returns
// ErrConflict, or ErrNotFound for an absent object.
func (o *Objects) Delete(key string, base uint64) error {
	current := o.currentVersion(key)
	if current == 0 {
		return platform.ErrNotFound
	}
	if current != base {
		return platform.ErrConflict
	}
	o.version++
	o.byKey[key] = platform.Object{Key: key, Version: o.version, Deleted: true}
	return nil
}

// List returns the objects whose keys start with prefix, ordered by key.
func (o *Objects) List(prefix string) []platform.Object {
	return o.collect(prefix, func(object platform.Object) bool { return !object.Deleted })
}

// Since returns the latest state of every key under prefix that changed after
// the given version, removed keys included, ordered by version.
func (o *Objects) Since(prefix string, after uint64) []platform.Object {
	changed := o.collect(prefix, func(object platform.Object) bool { return object.Version > after })
	sort.Slice(changed, func(i, j int) bool { return changed[i].Version < changed[j].Version })
	return changed
}

func (o *Objects) currentVersion(key string) uint64 {
	object, err := o.Get(key)
	if err != nil {
		return 0
	}
	return object.Version
}

func (o *Objects) collect(prefix string, wanted func(platform.Object) bool) []platform.Object {
	found := []platform.Object{}
	for key, object := range o.byKey {
		if strings.HasPrefix(key, prefix) && wanted(object) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}
