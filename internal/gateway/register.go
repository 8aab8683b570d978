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
	// registerRetryInterval is the pause between two attempts to register this
	// host. It also limits the time to remove the registration when the host
	// stops.
	registerRetryInterval = time.Second
	// maxHostSilence is the time without any message from a host after which
	// its entry in the store is removed. It exceeds the time for which data
	// centres lose contact with each other; within a data centre, every host
	// receives a message from each other host every second.
	maxHostSilence = 10 * time.Minute
	// silenceCheckInterval is the time between two searches for such hosts.
	silenceCheckInterval = 30 * time.Second
)

// keepRegistered writes this host's address into the store, and writes it again
// whenever another host has removed it, until the context ends or the host
// stops.
func (p *Process) keepRegistered(ctx context.Context) {
	for {
		if !p.writeOwnEntry(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.peers.selfRemoved:
			if p.drain.stopping() {
				return
			}
		}
	}
}

// writeOwnEntry writes this host's entry and repeats the call until it
// succeeds. It returns false if the context ended first.
func (p *Process) writeOwnEntry(ctx context.Context) bool {
	platformSettings := p.settings.platformSettings
	for {
		err := p.store.Put(ctx, hostsKind, platformSettings.Host, hostSpec{
			Address: p.peerAddress(), DataCentre: platformSettings.DataCentre, ProcessorShare: platformSettings.ProcessorShare,
			Forward: p.forwardAddress(), Boot: p.boot,
		})
		if err == nil {
			p.peers.registered.Store(true)
			logevent.HostRegistered.Emit(p.logger, log.Fields{"host": platformSettings.Host, "address": p.peerAddress(), "boot": p.boot})
			return true
		}
		logevent.HostNotRegistered.Emit(p.logger, log.Fields{"host": platformSettings.Host, "error": err.Error()})
		if !sleep(ctx, registerRetryInterval) {
			return false
		}
	}
}

// removeOwnEntry removes this host's entry from the store, so that other hosts
// send it no more messages.
func (p *Process) removeOwnEntry() {
	ctx, cancel := context.WithTimeout(context.Background(), registerRetryInterval)
	defer cancel()
	if err := p.store.Delete(ctx, hostsKind, p.settings.platformSettings.Host, platform.Revision{}); err != nil {
		logevent.HostNotRegistered.Emit(p.logger, log.Fields{"host": p.settings.platformSettings.Host, "error": err.Error()})
	}
}

// removeSilentHosts removes the entries of hosts of this data centre that have
// failed for good. A failed host can't remove its entry itself, and as long as
// the entry is there, other hosts may still expect that host to be their relay
// or to watch the store for them. Only the first host of the data centre that is
// alive removes entries.
func (p *Process) removeSilentHosts(ctx context.Context) {
	for sleep(ctx, silenceCheckInterval) {
		for _, m := range p.peers.silentMembers(maxHostSilence) {
			err := p.store.Delete(ctx, hostsKind, m.name, m.revision)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				logevent.HostNotRegistered.Emit(p.logger, log.Fields{"host": m.name, "error": err.Error()})
				continue
			}
			logevent.HostEntryRemoved.Emit(p.logger, log.Fields{"host": m.name, "address": m.address, "silent_s": maxHostSilence.Seconds()})
		}
	}
}
