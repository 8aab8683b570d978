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

// memoryStore is an object API in memory. Before each call it asks fault
// whether the call fails and, for a write, whether the write takes effect
// nevertheless.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	objects map[string]platform.Object
	calls   int
	// fault may be nil, which means that no call fails.
	fault func(op, key string) (err error, effect bool)
}

// newMemoryStore returns an empty memoryStore without faults.
func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]platform.Object)}
}

// callFault counts a call and returns the error with which it fails, if any,
// and whether it takes effect.
func (m *memoryStore) callFault(op, key string) (error, bool) {
	m.mu.Lock()
	m.calls++
	fault := m.fault
	m.mu.Unlock()
	if fault == nil {
		return nil, true
	}
	return fault(op, key)
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	if err, _ := m.callFault("get", key); err != nil {
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

func (m *memoryStore) Put(_ context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	err, effect := m.callFault("put", key)
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

func (m *memoryStore) Delete(_ context.Context, key string, base uint64) error {
	err, effect := m.callFault("delete", key)
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

func (m *memoryStore) List(_ context.Context, prefix string) ([]platform.Object, error) {
	if err, _ := m.callFault("list", prefix); err != nil {
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

func (m *memoryStore) Watch(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}
