package engine

import (
	"sort"
	"strings"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// maxRememberedOrders is the number of newest order ids that an engine
// remembers, in order to recognise repeated orders.
const maxRememberedOrders = 4096

// modelSet holds the models of an engine and the orders that it has executed.
type modelSet struct {
	loadTime        time.Duration
	checksFencing   bool
	readyAt         map[string]time.Duration // time at which each model finishes or finished loading
	executed        map[string]bool
	executedInOrder []string // keys of executed, oldest first
	lastOrder       string
	lastFencing     uint64 // fencing number of the last order
	highestFencing  uint64 // highest fencing number seen so far
}

func newModelSet(c Config) *modelSet {
	m := &modelSet{
		loadTime: c.ModelLoadTime, checksFencing: c.ChecksFencing,
		readyAt: make(map[string]time.Duration), executed: make(map[string]bool),
	}
	for _, name := range c.Models {
		m.readyAt[name] = 0
	}
	return m
}

// orderResult is the way in which an order was handled.
type orderResult int

const (
	// orderExecuted means that the order was carried out.
	orderExecuted orderResult = iota
	// orderExecutedStale means that the order was carried out although its
	// fencing number is lower than one seen before.
	orderExecutedStale
	// orderDuplicate means that an order with the same id was executed before.
	orderDuplicate
	// orderFenced means that the order was refused because its fencing number is
	// lower than one seen before.
	orderFenced
)

// execute carries out an order, unless its id was executed before or fencing is
// checked and its fencing number is lower than the highest seen. Models load one
// after another, each for loadTime.
func (m *modelSet) execute(now time.Duration, o api.Order) orderResult {
	stale := o.Fencing < m.highestFencing
	if stale && m.checksFencing {
		return orderFenced
	}
	if m.executed[o.ID] {
		return orderDuplicate
	}
	m.remember(o)
	for _, name := range o.Unload {
		delete(m.readyAt, name)
	}
	loadedAt := now
	for _, ready := range m.readyAt {
		loadedAt = max(loadedAt, ready)
	}
	for _, name := range o.Load {
		if _, known := m.readyAt[name]; !known {
			loadedAt += m.loadTime
			m.readyAt[name] = loadedAt
		}
	}
	if stale {
		return orderExecutedStale
	}
	return orderExecuted
}

// remember records an executed order and forgets the oldest one if too many are
// remembered.
func (m *modelSet) remember(o api.Order) {
	m.executed[o.ID] = true
	m.executedInOrder = append(m.executedInOrder, o.ID)
	if len(m.executedInOrder) > maxRememberedOrders {
		delete(m.executed, m.executedInOrder[0])
		m.executedInOrder = m.executedInOrder[1:]
	}
	m.lastOrder, m.lastFencing = o.ID, o.Fencing
	m.highestFencing = max(m.highestFencing, o.Fencing)
}

// loaded returns the names of the models that can serve requests, sorted.
func (m *modelSet) loaded(now time.Duration) []string {
	return m.namesWhere(func(ready time.Duration) bool { return ready <= now })
}

// loading returns the names of the models that are still being loaded, sorted.
func (m *modelSet) loading(now time.Duration) []string {
	return m.namesWhere(func(ready time.Duration) bool { return ready > now })
}

func (m *modelSet) namesWhere(want func(ready time.Duration) bool) []string {
	names := make([]string, 0, len(m.readyAt))
	for name, ready := range m.readyAt {
		if want(ready) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// serves reports whether the requested model is loaded. A name without a version
// matches any version.
func (m *modelSet) serves(now time.Duration, name string) bool {
	if ready, ok := m.readyAt[name]; ok {
		return ready <= now
	}
	if strings.Contains(name, "@") {
		return false
	}
	wanted, adapter, _ := strings.Cut(name, "+")
	for held, ready := range m.readyAt {
		model, rest, _ := strings.Cut(held, "@")
		_, heldAdapter, _ := strings.Cut(rest, "+")
		if ready <= now && model == wanted && heldAdapter == adapter {
			return true
		}
	}
	return false
}

func (m *modelSet) status(now time.Duration) api.Status {
	return api.Status{
		Models: m.loaded(now), Loading: m.loading(now),
		LastOrder: m.lastOrder, LastFencing: m.lastFencing,
	}
}
