package engine

import (
	"sort"
	"strings"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// keepOrders is how many order ids an engine remembers.
const keepOrders = 4096

// models is what an engine holds and the orders that it took.
type models struct {
	loadTime time.Duration
	checks   bool
	ready    map[string]time.Duration // when each model is or was loaded
	taken    map[string]bool
	order    []string // ids in taken, oldest first
	last     string
	fencing  uint64 // of the last order
	highest  uint64 // fencing number ever seen
}

func newModels(c Config) *models {
	m := &models{
		loadTime: c.ModelLoadTime, checks: c.ChecksFencing,
		ready: make(map[string]time.Duration), taken: make(map[string]bool),
	}
	for _, name := range c.Models {
		m.ready[name] = 0
	}
	return m
}

// orderResult says what became of an order.
type orderResult int

const (
	orderTaken orderResult = iota
	orderTakenStale
	orderDuplicate
	orderFenced
)

// take runs an order unless its id was run before or its fencing number is
// old and checked. Loads take their time one after another.
func (m *models) take(now time.Duration, o api.Order) orderResult {
	stale := o.Fencing < m.highest
	if stale && m.checks {
		return orderFenced
	}
	if m.taken[o.ID] {
		return orderDuplicate
	}
	m.remember(o)
	for _, name := range o.Unload {
		delete(m.ready, name)
	}
	at := now
	for _, ready := range m.ready {
		at = max(at, ready)
	}
	for _, name := range o.Load {
		if _, known := m.ready[name]; !known {
			at += m.loadTime
			m.ready[name] = at
		}
	}
	if stale {
		return orderTakenStale
	}
	return orderTaken
}

func (m *models) remember(o api.Order) {
	m.taken[o.ID] = true
	m.order = append(m.order, o.ID)
	if len(m.order) > keepOrders {
		delete(m.taken, m.order[0])
		m.order = m.order[1:]
	}
	m.last, m.fencing = o.ID, o.Fencing
	m.highest = max(m.highest, o.Fencing)
}

func (m *models) loaded(now time.Duration) []string {
	return m.list(func(ready time.Duration) bool { return ready <= now })
}

func (m *models) loading(now time.Duration) []string {
	return m.list(func(ready time.Duration) bool { return ready > now })
}

func (m *models) list(want func(ready time.Duration) bool) []string {
	names := make([]string, 0, len(m.ready))
	for name, ready := range m.ready {
		if want(ready) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// serves reports whether the model asked for is loaded. A name without a
// version fits any version.
func (m *models) serves(now time.Duration, name string) bool {
	if ready, ok := m.ready[name]; ok {
		return ready <= now
	}
	if strings.Contains(name, "@") {
		return false
	}
	wanted, adapter, _ := strings.Cut(name, "+")
	for held, ready := range m.ready {
		model, rest, _ := strings.Cut(held, "@")
		_, heldAdapter, _ := strings.Cut(rest, "+")
		if ready <= now && model == wanted && heldAdapter == adapter {
			return true
		}
	}
	return false
}

func (m *models) status(now time.Duration) api.Status {
	return api.Status{
		Models: m.loaded(now), Loading: m.loading(now),
		LastOrder: m.last, LastFencing: m.fencing,
	}
}
