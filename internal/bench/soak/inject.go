package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/relay"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// injectFaults injects the scheduled faults, each at its start, and returns when
// all of them have ended.
func (hs *harness) injectFaults(ctx context.Context, faults []scheduledFault) {
	var running sync.WaitGroup
	for _, s := range faults {
		sleep(ctx, s.start-hs.elapsed())
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { hs.injectFault(ctx, s) })
	}
	running.Wait()
}

// injectFault injects one fault and records when it began and ended.
func (hs *harness) injectFault(ctx context.Context, s scheduledFault) {
	target := storeTarget
	switch s.targetKind {
	case targetCallers:
		target = callersTarget
	case targetHost:
		target = hs.hosts[s.targetIndex].name
	case targetServer:
		standIn, _ := hs.servers[s.targetIndex].current()
		target = standIn.ID
	}
	from := hs.elapsed()
	// The recorded span begins before the injection and ends after it, so that it
	// covers all requests that the fault may affect. It is recorded at the end of
	// the fault, which is early enough, since the requests are checked only once
	// the history is complete.
	switch s.targetKind {
	case targetHost:
		hs.injectHostFault(ctx, hs.hosts[s.targetIndex], s)
	case targetStore:
		hs.injectStoreFault(ctx, s)
	case targetCallers:
		active := &hs.crashingPrompts
		if s.fault == repeatCrashesServers {
			active = &hs.crashingRepeats
		}
		active.Add(1)
		sleep(ctx, s.duration)
		active.Add(-1)
	default:
		hs.injectServerFault(ctx, hs.servers[s.targetIndex], s)
	}
	to := hs.elapsed()
	hs.updateHistory(func(h *History) {
		h.Faults = append(h.Faults, FaultSpan{Fault: s.fault, Target: target, From: from, To: to})
	})
}

// injectHostFault injects a fault of a host's process or connections.
func (hs *harness) injectHostFault(ctx context.Context, h *host, s scheduledFault) {
	switch s.fault {
	case hostStop, hostKill, hostPause, hostReload:
		h.processFaultMu.Lock()
		defer h.processFaultMu.Unlock()
		hs.injectProcessFault(ctx, h, s)
	case storeLinkCut, storeLinkResponsesLost, storeLinkDelayed:
		injectLinkFault(ctx, h.storeLink, s)
	case peerLinkCut:
		injectLinkFault(ctx, h.peerLink, s)
	case storeLinkBlackholed:
		h.storeRelay.BlackholeConnections()
	case storeLinkReset:
		h.storeRelay.ResetConnections()
	case peerLinkBlackholed:
		h.peerRelay.BlackholeConnections()
	case peerLinkReset:
		h.peerRelay.ResetConnections()
	}
}

// injectProcessFault injects a fault of a host's process. The caller holds the
// host's processFaultMu.
func (hs *harness) injectProcessFault(ctx context.Context, h *host, s scheduledFault) {
	switch s.fault {
	case hostStop:
		h.endProcessAndAwaitRestart(syscall.SIGTERM, 0)
	case hostKill:
		h.endProcessAndAwaitRestart(syscall.SIGKILL, s.duration)
	case hostReload:
		p, _ := h.currentProcess()
		hs.signal(p, syscall.SIGHUP)
	case hostPause:
		p, _ := h.currentProcess()
		hs.signal(p, syscall.SIGSTOP)
		sleep(ctx, s.duration)
		hs.signal(p, syscall.SIGCONT)
	}
}

// slowLinkDelay is the delay in each direction of slow links. With it the store's
// answers take sixty times as long as usual.
const slowLinkDelay = 120 * time.Millisecond

// injectLinkFault cuts or delays a link for the duration of the fault.
func injectLinkFault(ctx context.Context, l *relay.Link, s scheduledFault) {
	switch s.fault {
	case storeLinkResponsesLost, serverLinkResponsesLost:
		l.CutResponses()
	case storeLinkDelayed, serverLinkDelayed:
		l.AddDelay(slowLinkDelay)
	default:
		l.Cut()
	}
	sleep(ctx, s.duration)
	l.Heal()
}

// injectStoreFault injects a fault of the store.
func (hs *harness) injectStoreFault(ctx context.Context, s scheduledFault) {
	switch s.fault {
	case storeDown:
		hs.store.SetDown(true)
		sleep(ctx, s.duration)
		hs.store.SetDown(false)
	case storeWatchesStalled:
		hs.store.SetWatchesStalled(true)
		sleep(ctx, s.duration)
		hs.store.SetWatchesStalled(false)
	case storeCompact:
		hs.store.CompactHistory()
	}
}

// standInFaults maps the faults that a server itself shows to those of its
// stand-in.
var standInFaults = map[Fault]standin.Fault{
	serverFull: standin.Full, serverFailing: standin.Failing, serverHangs: standin.Silent,
	serverTruncates: standin.Truncating, serverWrongRequest: standin.WrongRequestID,
}

// injectServerFault injects a fault of a server or of the connections to it.
func (hs *harness) injectServerFault(ctx context.Context, server *server, s scheduledFault) {
	standIn, serverRelay := server.current()
	if fault, ok := standInFaults[s.fault]; ok {
		standIn.SetFault(fault)
		sleep(ctx, s.duration)
		standIn.SetFault(standin.Healthy)
		return
	}
	switch s.fault {
	case serverLinkBlackholed:
		serverRelay.BlackholeConnections()
	case serverLinkReset:
		serverRelay.ResetConnections()
	case serverCrashes:
		standIn.Crash()
		sleep(ctx, standIn.Downtime)
	case serverAsksForRest:
		standIn.SetRest(fmt.Sprint(restLength.Seconds()))
		sleep(ctx, s.duration)
		standIn.SetRest("")
	case serverReplaced, serverAnnouncesEnd:
		if s.fault == serverAnnouncesEnd {
			standIn.SetLeaving(true)
			// The store learns of it only after the time to drain.
			sleep(ctx, maxDrainTime+extraServeTime)
		}
		if err := server.replace(s.targetIndex); err != nil {
			hs.recordError(err)
		}
	default:
		injectLinkFault(ctx, server.link, s)
	}
}
