package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// registerPause is the pause between two tries to register this host.
	registerPause = time.Second
	// hostSilence is how long nothing was heard of a host before its entry in
	// the store is removed. It is above the time for which data centres lose
	// each other; within one, hosts hear of each other every second.
	hostSilence = 10 * time.Minute
	// sweepInterval is the time between two looks for such hosts.
	sweepInterval = 30 * time.Second
)

// register enters this host's address into the store, and again whenever
// another host took it out.
func (p *Process) register(ctx context.Context) {
	for {
		if !p.enter(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.peers.removed:
			if p.drain.stopping() {
				return
			}
		}
	}
}

// enter writes this host's entry until that worked; false when the context ended.
func (p *Process) enter(ctx context.Context) bool {
	in := p.settings.surroundings
	for {
		err := p.store.Put(ctx, hostsKind, in.Host, hostSpec{
			Address: p.peerAddress(), DataCentre: in.DataCentre, Power: in.ProcessorShare, Boot: p.boot,
		})
		if err == nil {
			p.peers.registered.Store(true)
			logevent.HostRegistered.Emit(p.logger, log.Fields{"host": in.Host, "address": p.peerAddress(), "boot": p.boot})
			return true
		}
		logevent.HostNotRegistered.Emit(p.logger, log.Fields{"host": in.Host, "error": err.Error()})
		if !pause(ctx, registerPause) {
			return false
		}
	}
}

// unregister takes this host out of the store, so that others tell it no more.
func (p *Process) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), registerPause)
	defer cancel()
	if err := p.store.Delete(ctx, hostsKind, p.settings.surroundings.Host, 0); err != nil {
		logevent.HostNotRegistered.Emit(p.logger, log.Fields{"host": p.settings.surroundings.Host, "error": err.Error()})
	}
}

// sweep removes the entries of hosts of this data centre that are gone for
// good: one that failed can't do so itself, and its entry would go on naming
// it as one that others follow. The first host of the data centre does it.
func (p *Process) sweep(ctx context.Context) {
	for pause(ctx, sweepInterval) {
		for _, m := range p.peers.silent(hostSilence) {
			err := p.store.Delete(ctx, hostsKind, m.name, m.revision)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				logevent.HostNotRegistered.Emit(p.logger, log.Fields{"host": m.name, "error": err.Error()})
				continue
			}
			logevent.HostEntryRemoved.Emit(p.logger, log.Fields{"host": m.name, "address": m.address, "silent_s": hostSilence.Seconds()})
		}
	}
}
