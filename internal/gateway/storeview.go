package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/route"
	"github.com/chestnutline/chestnutline/platform"
)

// storeView holds what the process last read from the store: the configuration
// in force and the registered servers.
type storeView struct {
	clock  clock.Clock
	logger log.Interface
	post   func(balance.Event)
	// regions holds the region of each data centre. evacuations holds those that are out of
	// service; nil if the platform has no such order.
	regions     map[string]string
	evacuations *evacuationView

	// configuration is nil until a configuration was read.
	configuration atomic.Pointer[activeConfiguration]

	// mu guards the fields below. serversKnown is true once a complete list of
	// the servers was read.
	mu           sync.Mutex
	registry     *serverRegistry
	serversKnown bool
	// lastStoreAnswer is when the store last answered any call.
	lastStoreAnswer time.Duration
}

// activeConfiguration is a configuration with the time since which it is in
// force in this process.
type activeConfiguration struct {
	*route.Table
	activeSince time.Duration
}

// newStoreView returns a storeView that knows neither a configuration nor
// servers.
func newStoreView(c clock.Clock, logger log.Interface, post func(balance.Event)) *storeView {
	return &storeView{clock: c, logger: logger, post: post, registry: newServerRegistry()}
}

// loaded reports whether requests can be answered: a configuration is in force, a complete
// list of the servers was read once, and the evacuations are known.
func (v *storeView) loaded() bool {
	if !v.evacuations.loaded() {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serversKnown && v.configuration.Load() != nil
}

// updateConfiguration puts the newest configuration among the objects into
// force. If it cannot be read, the last good one stays in force.
func (v *storeView) updateConfiguration(objects []platform.Object) {
	var newest platform.Object
	for _, o := range objects {
		if o.Name == platform.ConfigurationName && !o.Deleted && newest.Revision.Before(o.Revision) {
			newest = o
		}
	}
	if newest.Revision.IsZero() {
		return
	}
	declaration, err := platform.DecodeDeclaration(newest.Spec)
	if err != nil {
		logevent.ConfigurationUnreadable.Emit(v.logger, log.Fields{"revision": newest.Revision.Number, "error": err.Error()})
		return
	}
	v.applyDeclaration(declaration, newest.Revision)
}

// applyDeclaration puts a configuration into force, unless its version is not
// higher than that in force.
func (v *storeView) applyDeclaration(declaration route.Declaration, revision platform.Revision) {
	current := v.configuration.Load()
	if current != nil && declaration.Version <= current.Version {
		return
	}
	next := &activeConfiguration{Table: route.NewTable(declaration), activeSince: v.clock.Now()}
	v.configuration.Store(next)
	v.post(balance.ServicesChanged{Services: next.Services()})
	logevent.DeclarationApplied.Emit(v.logger, log.Fields{
		"version": declaration.Version, "revision": revision.Number, "era": revision.Era, "routes": len(declaration.Routes), "organisations": len(declaration.Organisations),
	})
}

// replaceServers applies a complete list of registrations.
func (v *storeView) replaceServers(objects []platform.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.replace(v.decodeRegistrations(objects), v.clock.Now())
	v.serversKnown = true
	v.postUpstreams()
}

// lastChanges returns the last change of each object, in the order of changes.
func lastChanges(objects []platform.Object) []platform.Object {
	last := make(map[string]int, len(objects))
	for i, o := range objects {
		last[o.Name] = i
	}
	var changes []platform.Object
	for i, o := range objects {
		if last[o.Name] == i {
			changes = append(changes, o)
		}
	}
	return changes
}

// updateServers applies changed registrations, among them removals.
func (v *storeView) updateServers(objects []platform.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	objects = lastChanges(objects)
	var removed []string
	for _, o := range objects {
		if o.Deleted {
			removed = append(removed, o.Name)
		}
	}
	for _, u := range v.decodeRegistrations(objects) {
		v.logServerChange(u)
		v.registry.put(u, v.clock.Now())
	}
	v.registry.remove(removed, v.clock.Now())
	if len(removed) > 0 {
		logevent.ServersRemoved.Emit(v.logger, log.Fields{"upstreams": removed, "kept_for_now": len(v.registry.keptUntil)})
	}
	v.postUpstreams()
}

// logServerChange logs a server that is new here, or that begins or ends
// draining.
func (v *storeView) logServerChange(u registration) {
	if old, known := v.registry.entries[u.ID]; !known || old.Draining != u.Draining {
		logevent.ServerChanged.Emit(v.logger, log.Fields{
			"upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "leaving": u.Draining,
		})
	}
}

// recordStoreAnswer records that the store answered a call. If it did not
// answer any for so long that registrations may have lapsed, this is the end of
// an outage.
func (v *storeView) recordStoreAnswer() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if now-v.lastStoreAnswer >= minLapsingOutage {
		v.registry.recordOutageEnd(now)
	}
	v.lastStoreAnswer = now
}

// removeExpiredServers removes the servers that did not register again in time
// after an outage.
func (v *storeView) removeExpiredServers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.removeExpired(v.clock.Now()) {
		v.postUpstreams()
	}
}

// postUpstreams passes the whole list of servers to the core. The caller holds
// mu.
func (v *storeView) postUpstreams() {
	v.post(balance.UpstreamsChanged{Upstreams: v.registry.list()})
}

// decodeRegistrations decodes the registrations of servers. It skips those that
// cannot be read, since they name no server.
func (v *storeView) decodeRegistrations(objects []platform.Object) []registration {
	list := make([]registration, 0, len(objects))
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		r, err := platform.DecodeRegistration(o)
		if err != nil {
			logevent.RegistrationUnreadable.Emit(v.logger, log.Fields{"name": o.Name, "revision": o.Revision.Number, "error": err.Error()})
			continue
		}
		list = append(list, registration{
			Upstream: balance.Upstream{
				ID: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre, Region: v.regions[r.DataCentre],
				Slots: r.Slots, Draining: r.Draining, Incarnation: r.Incarnation,
				ColdUntil: v.clock.Now() + r.ColdTime, ColdTimeKnown: r.ColdTimeKnown,
			},
			sequence: r.Sequence, era: o.Revision.Era,
		})
	}
	return list
}
