package host

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/callers"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/configuration/source"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/probe"
	"github.com/chestnutline/chestnutline/internal/router"
)

// execute carries out one effect of the core; it runs on the control thread
// and does not block.
func (p *Process) execute(effect router.Effect) {
	switch f := effect.(type) {
	case router.Work:
		p.record(f.Effect)
		p.executor.Execute(f.Effect)
		if _, drained := f.Effect.(dispatch.Drained); drained {
			close(p.drained)
		}
	case router.SendPeer:
		p.peers.Send(f.To, f.Message)
	case router.Configure:
		p.configure(f.Effect)
	case router.MemberNoted:
		p.noteMember(f)
	case router.Listed:
		p.listed.Store(true)
	case router.Probe:
		p.watch(f.Targets)
	}
}

// record keeps the account of a request, the log and the metrics.
func (p *Process) record(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.Admit:
		p.metrics.Count("requests_admitted_total", 1)
		p.note(f.ID, "admitted", "expected wait "+f.PredictedWait.Round(time.Millisecond).String())
	case dispatch.Refuse:
		p.metrics.Count("requests_refused_total", 1, "code", string(f.Code))
		p.note(f.ID, "refused", fmt.Sprintf("%s, retry after %s", f.Code, f.RetryAfter.Round(time.Millisecond)))
		logevent.RequestRefused.Emit(p.log, log.Fields{"request": f.ID, "code": f.Code})
	case dispatch.Fail:
		p.metrics.Count("requests_failed_total", 1, "code", string(f.Code), "outcome", string(f.Outcome))
		p.note(f.ID, "failed", fmt.Sprintf("%s, outcome %s", f.Code, f.Outcome))
		logevent.RequestFailed.Emit(p.log, log.Fields{"request": f.ID, "code": f.Code, "outcome": f.Outcome})
	case dispatch.Done:
		p.metrics.Count("requests_ended_total", 1)
		p.note(f.ID, "ended", "")
	default:
		p.recordAttempt(effect)
	}
}

func (p *Process) recordAttempt(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.Reserve:
		p.note(f.ID, "memory asked for", fmt.Sprintf("attempt %d, %s, %d tokens", f.Attempt, f.Upstream, f.MemoryTokens))
	case dispatch.Send:
		p.sent(f)
	case dispatch.Resume:
		p.metrics.Count("streams_resumed_total", 1)
		p.note(f.ID, "resumed", fmt.Sprintf("attempt %d, %s, from token %d", f.Attempt, f.Upstream, f.Offset))
	case dispatch.Call:
		p.note(f.ID, "called", fmt.Sprintf("attempt %d, %s", f.Attempt, f.Upstream))
		p.retried(f.ID, f.Attempt)
	case dispatch.Cancel:
		p.metrics.Count("cancels_sent_total", 1)
		p.note(f.ID, "cancelled", fmt.Sprintf("attempt %d, %s", f.Attempt, f.Upstream))
	}
}

func (p *Process) sent(f dispatch.Send) {
	names := make([]string, len(f.Group))
	for i, m := range f.Group {
		names[i] = m.Upstream
	}
	p.note(f.ID, "sent", fmt.Sprintf("attempt %d, %v, priority %s", f.Attempt, names, f.Priority))
	p.retried(f.ID, f.Attempt)
}

// retried notes an attempt that follows another one.
func (p *Process) retried(id string, attempt uint32) {
	if attempt == 1 {
		return
	}
	p.metrics.Count("requests_retried_total", 1)
	logevent.RequestRetried.Emit(p.log, log.Fields{"request": id, "attempt": attempt})
}

func (p *Process) note(request, decision, detail string) {
	p.journal.Record(request, time.Now(), decision, detail)
}

// configure carries out an effect of the configuration's spreading.
func (p *Process) configure(effect configuration.Effect) {
	if p.source.Execute(effect) {
		return
	}
	source.LogEffect(p.log, effect)
	if f, ok := effect.(configuration.Apply); ok {
		cfg := f.Configuration
		p.catalogue.Store(callers.NewCatalogue(f.Version, &cfg))
		p.metrics.Gauge("configuration_version", float64(f.Version))
	}
}

func (p *Process) noteMember(f router.MemberNoted) {
	switch m := f.Effect.(type) {
	case membership.MemberChanged:
		p.claims.memberChanged(m.Host, m.Address, m.State)
		p.metrics.Count("member_changes_total", 1, "state", m.State.String())
		logevent.MemberChanged.Emit(p.log, log.Fields{
			"member": m.Host, "data_centre": m.DataCentre, "state": m.State.String(), "incarnation": m.Incarnation,
		})
	case membership.IncarnationReplaced:
		logevent.MemberReplaced.Emit(p.log, log.Fields{"member": m.Host, "old": m.OldIncarnation, "old_state": m.OldState.String()})
	case membership.ReachabilityChanged:
		event := logevent.DataCentreCutOff
		if m.Reachable {
			event = logevent.DataCentreBack
		}
		event.Emit(p.log, log.Fields{"data_centre": m.DataCentre})
	case membership.IncarnationRaised:
		p.executor.SetIncarnation(m.Incarnation)
		logevent.OwnIncarnationRaised.Emit(p.log, log.Fields{"incarnation": m.Incarnation})
	case membership.Superseded:
		logevent.OwnNameTaken.Emit(p.log, log.Fields{"address": m.Address, "incarnation": m.Incarnation})
		p.Interrupt()
	}
}

func (p *Process) watch(targets []router.Target) {
	list := make([]probe.Target, len(targets))
	for i, t := range targets {
		list[i] = probe.Target(t)
	}
	p.prober.Watch(list)
}
