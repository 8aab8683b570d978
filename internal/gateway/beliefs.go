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

// beliefs is what the process knows from the store: the configuration in
// force and the registered servers.
type beliefs struct {
	clock  clock.Clock
	logger log.Interface
	post   func(balance.Event)

	table atomic.Pointer[inForce]

	mu       sync.Mutex
	registry *registry
	listed   bool
	// answered is when the store last answered any call.
	answered time.Duration
}

// inForce is a configuration with the time since when it is in force here.
type inForce struct {
	*route.Table
	since time.Duration
}

func newBeliefs(c clock.Clock, logger log.Interface, post func(balance.Event)) *beliefs {
	return &beliefs{clock: c, logger: logger, post: post, registry: newRegistry()}
}

// known says whether requests can be answered: a configuration is in force and
// the servers were listed once.
func (b *beliefs) known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed && b.table.Load() != nil
}

// configurationChanged takes over the newest configuration among the objects.
// One that cannot be read leaves the last good one in force.
func (b *beliefs) configurationChanged(objects []platform.Object) {
	var newest platform.Object
	for _, o := range objects {
		if o.Name == platform.ConfigurationName && !o.Deleted && o.Revision > newest.Revision {
			newest = o
		}
	}
	if newest.Revision == 0 {
		return
	}
	d, err := platform.DecodeDeclaration(newest.Spec)
	if err != nil {
		logevent.ConfigurationUnreadable.Emit(b.logger, log.Fields{"revision": newest.Revision, "error": err.Error()})
		return
	}
	b.apply(d, newest.Revision)
}

func (b *beliefs) apply(d route.Declaration, revision uint64) {
	old := b.table.Load()
	if old != nil && d.Version <= old.Version {
		return
	}
	next := &inForce{Table: route.NewTable(d), since: b.clock.Now()}
	b.table.Store(next)
	b.post(balance.ServicesChanged{Services: next.Services()})
	logevent.DeclarationApplied.Emit(b.logger, log.Fields{
		"version": d.Version, "revision": revision, "routes": len(d.Routes), "organisations": len(d.Organisations),
	})
}

// serversListed takes over a complete list of registrations.
func (b *beliefs) serversListed(objects []platform.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.replace(b.decode(objects), b.clock.Now())
	b.listed = true
	b.share()
}

// serversChanged takes over changed registrations.
func (b *beliefs) serversChanged(objects []platform.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var removed []string
	for _, o := range objects {
		if o.Deleted {
			removed = append(removed, o.Name)
		}
	}
	for _, u := range b.decode(objects) {
		b.noteLeaving(u)
		b.registry.put(u)
	}
	b.registry.remove(removed, b.clock.Now())
	if len(removed) > 0 {
		logevent.ServersRemoved.Emit(b.logger, log.Fields{"upstreams": removed, "kept_for_now": len(b.registry.missing)})
	}
	b.share()
}

func (b *beliefs) noteLeaving(u balance.Upstream) {
	if old, known := b.registry.entries[u.ID]; !known || old.Draining != u.Draining {
		logevent.ServerChanged.Emit(b.logger, log.Fields{
			"upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "leaving": u.Draining,
		})
	}
}

// storeAnswered notes that the store is there, and so the end of an outage that
// was long enough for registrations to lapse.
func (b *beliefs) storeAnswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if now-b.answered >= minLapse {
		b.registry.outageEnded(now)
	}
	b.answered = now
}

// settle drops servers that did not come back in time after an outage.
func (b *beliefs) settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.registry.settle(b.clock.Now()) {
		b.share()
	}
}

func (b *beliefs) share() {
	b.post(balance.UpstreamsChanged{Upstreams: b.registry.list()})
}

// decode skips registrations that cannot be read; they name no server.
func (b *beliefs) decode(objects []platform.Object) []balance.Upstream {
	list := make([]balance.Upstream, 0, len(objects))
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		r, err := platform.DecodeRegistration(o)
		if err != nil {
			logevent.RegistrationUnreadable.Emit(b.logger, log.Fields{"name": o.Name, "revision": o.Revision, "error": err.Error()})
			continue
		}
		list = append(list, balance.Upstream{
			ID: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre,
			Slots: r.Slots, Draining: r.Draining, Incarnation: r.Incarnation,
		})
	}
	return list
}
