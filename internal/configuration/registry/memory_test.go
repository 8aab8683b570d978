package registry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// memory is an object API in memory. Before each call it asks fault whether
// the call fails, and for a write whether it takes effect all the same.
type memory struct {
	mu      sync.Mutex
	version uint64
	objects map[string]platform.Object
	calls   int
	// fault may be nil.
	fault func(op, key string) (err error, effect bool)
}

func newMemory() *memory {
	return &memory{objects: make(map[string]platform.Object)}
}

func (m *memory) inject(op, key string) (error, bool) {
	m.mu.Lock()
	m.calls++
	fault := m.fault
	m.mu.Unlock()
	if fault == nil {
		return nil, true
	}
	return fault(op, key)
}

func (m *memory) Get(_ context.Context, key string) (platform.Object, error) {
	if err, _ := m.inject("get", key); err != nil {
		return platform.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	err, effect := m.inject("put", key)
	if !effect {
		return platform.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != base {
		return platform.Object{}, cmp.Or(err, platform.ErrConflict)
	}
	m.version++
	m.objects[key] = platform.Object{Key: key, Version: m.version, Value: slices.Clone(value)}
	return m.objects[key], err
}

func (m *memory) Delete(_ context.Context, key string, base uint64) error {
	err, effect := m.inject("delete", key)
	if !effect {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != base {
		return cmp.Or(err, platform.ErrConflict)
	}
	m.version++
	delete(m.objects, key)
	return err
}

func (m *memory) List(_ context.Context, prefix string) ([]platform.Object, error) {
	if err, _ := m.inject("list", prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []platform.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b platform.Object) int { return cmp.Compare(a.Key, b.Key) })
	return found, nil
}

func (m *memory) Watch(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}
