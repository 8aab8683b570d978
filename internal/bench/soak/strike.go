package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/relay"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// strike carries the schedule out and returns when all faults have ended.
func (w *world) strike(ctx context.Context, steps []step) {
	var running sync.WaitGroup
	for _, s := range steps {
		sleep(ctx, s.at-w.now())
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { w.carryOut(ctx, s) })
	}
	running.Wait()
}

func (w *world) carryOut(ctx context.Context, s step) {
	target := store
	switch s.strikes {
	case strikesHost:
		target = w.hosts[s.target].name
	case strikesServer:
		stand, _ := w.servers[s.target].present()
		target = stand.ID
	}
	from := w.now()
	// A fault counts from its beginning, so that requests that end meanwhile
	// are judged with it once the history is complete.
	switch s.strikes {
	case strikesHost:
		w.strikeHost(ctx, w.hosts[s.target], s)
	case strikesStore:
		w.strikeStore(ctx, s)
	default:
		w.strikeServer(ctx, w.servers[s.target], s)
	}
	to := w.now()
	w.note(func(h *History) {
		h.Faults = append(h.Faults, Span{Fault: s.fault, Target: target, From: from, To: to})
	})
}

func (w *world) strikeHost(ctx context.Context, h *host, s step) {
	switch s.fault {
	case hostStop, hostKill, hostPause, hostReload:
		h.turn.Lock()
		defer h.turn.Unlock()
		w.strikeProcess(ctx, h, s)
	case storeLinkCut, storeLinkOneWay, storeLinkDelayed:
		strikeLink(ctx, h.toStoreLink, s)
	case peerLinkCut:
		strikeLink(ctx, h.fromPeersLink, s)
	case storeLinkSilent:
		h.toStore.BlackholeConnections()
	case storeLinkReset:
		h.toStore.ResetConnections()
	case peerLinkSilent:
		h.fromPeers.BlackholeConnections()
	case peerLinkReset:
		h.fromPeers.ResetConnections()
	}
}

func (w *world) strikeProcess(ctx context.Context, h *host, s step) {
	switch s.fault {
	case hostStop:
		h.ask(syscall.SIGTERM, 0)
	case hostKill:
		h.ask(syscall.SIGKILL, s.lasts)
	case hostReload:
		p, _ := h.running()
		w.signal(p, syscall.SIGHUP)
	case hostPause:
		p, _ := h.running()
		w.signal(p, syscall.SIGSTOP)
		sleep(ctx, s.lasts)
		w.signal(p, syscall.SIGCONT)
	}
}

// slowness is the delay one way of slow links: the store's answers take sixty
// times as long as usual.
const slowness = 120 * time.Millisecond

func strikeLink(ctx context.Context, l *relay.Link, s step) {
	switch s.fault {
	case storeLinkOneWay, serverOneWay:
		l.CutResponses()
	case storeLinkDelayed, serverDelayed:
		l.AddDelay(slowness)
	default:
		l.Cut()
	}
	sleep(ctx, s.lasts)
	l.Heal()
}

func (w *world) strikeStore(ctx context.Context, s step) {
	switch s.fault {
	case storeDown:
		w.store.SetDown(true)
		sleep(ctx, s.lasts)
		w.store.SetDown(false)
	case storeDeaf:
		w.store.SetWatchesStalled(true)
		sleep(ctx, s.lasts)
		w.store.SetWatchesStalled(false)
	case storeCompact:
		w.store.CompactHistory()
	}
}

// standInFaults are the faults of servers that the stand-in plays.
var standInFaults = map[Fault]standin.Fault{
	serverFull: standin.Full, serverFailing: standin.Failing, serverHangs: standin.Silent,
	serverBreaks: standin.Truncating, serverForeign: standin.WrongRequestID,
}

func (w *world) strikeServer(ctx context.Context, server *server, s step) {
	stand, relay := server.present()
	if fault, ok := standInFaults[s.fault]; ok {
		stand.SetFault(fault)
		sleep(ctx, s.lasts)
		stand.SetFault(standin.Healthy)
		return
	}
	switch s.fault {
	case serverSilent:
		relay.BlackholeConnections()
	case serverReset:
		relay.ResetConnections()
	case serverLeaves:
		if err := server.replace(s.target); err != nil {
			w.fail(err)
		}
	default:
		strikeLink(ctx, server.link, s)
	}
}
