package platform

import (
	"sort"
	"strings"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// Objects is the stand-in's state: versioned values by key. It does no I/O
// and is not safe for concurrent use. Removed keys leave a mark for watches.
type Objects struct {
	byKey   map[string]platform.Object
	version uint64
}

// NewObjects returns an empty state.
func NewObjects() *Objects {
	return &Objects{byKey: make(map[string]platform.Object)}
}

// Version is that of the newest change.
func (o *Objects) Version() uint64 {
	return o.version
}

// Get returns one object or ErrNotFound.
func (o *Objects) Get(key string) (platform.Object, error) {
	object, ok := o.byKey[key]
	if !ok || object.Deleted {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

// Put writes value if the object's version is base, 0 for an absent one.
func (o *Objects) Put(key string, value []byte, base uint64) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	if o.current(key) != base {
		return platform.Object{}, platform.ErrConflict
	}
	o.version++
	object := platform.Object{Key: key, Version: o.version, Value: append([]byte(nil), value...)}
	o.byKey[key] = object
	return object, nil
}

// Delete removes the object if its version is base.
func (o *Objects) Delete(key string, base uint64) error {
	current := o.current(key)
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

// Since returns the newest state of every key under prefix that changed after
// the version given, ordered by version.
func (o *Objects) Since(prefix string, after uint64) []platform.Object {
	changed := o.collect(prefix, func(object platform.Object) bool { return object.Version > after })
	sort.Slice(changed, func(i, j int) bool { return changed[i].Version < changed[j].Version })
	return changed
}

func (o *Objects) current(key string) uint64 {
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
