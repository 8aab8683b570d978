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

// execute carries out one effect of the core. It runs on the control thread and
// does not block.
func (p *Process) execute(effect router.Effect) {
	switch f := effect.(type) {
	case router.DispatchEffect:
		p.recordEffect(f.Effect)
		p.executor.Execute(f.Effect)
		if _, drained := f.Effect.(dispatch.Drained); drained {
			close(p.drained)
		}
	case router.SendMessage:
		p.transport.Send(f.To, f.Message)
	case router.ConfigurationEffect:
		p.applyConfigurationEffect(f.Effect)
	case router.MembershipEffect:
		p.applyMembershipEffect(f)
	case router.UpstreamsKnown:
		p.upstreamsKnown.Store(true)
	case router.ProbeUpstreams:
		p.setProbeTargets(f.Targets)
	}
}

// recordEffect records an effect on a request in the journal, in the log and in
// the metrics.
func (p *Process) recordEffect(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.Admit:
		p.metrics.Count("requests_admitted_total", 1)
		p.addToJournal(f.ID, "admitted", "expected wait "+f.PredictedWait.Round(time.Millisecond).String())
	case dispatch.Refuse:
		p.metrics.Count("requests_refused_total", 1, "code", string(f.Code))
		p.addToJournal(f.ID, "refused", fmt.Sprintf("%s, retry after %s", f.Code, f.RetryAfter.Round(time.Millisecond)))
		logevent.RequestRefused.Emit(p.log, log.Fields{"request": f.ID, "code": f.Code})
	case dispatch.Fail:
		p.metrics.Count("requests_failed_total", 1, "code", string(f.Code), "outcome", string(f.Outcome))
		p.addToJournal(f.ID, "failed", fmt.Sprintf("%s, outcome %s", f.Code, f.Outcome))
		logevent.RequestFailed.Emit(p.log, log.Fields{"request": f.ID, "code": f.Code, "outcome": f.Outcome})
	case dispatch.Done:
		p.metrics.Count("requests_ended_total", 1)
		p.addToJournal(f.ID, "ended", "")
	default:
		p.recordAttemptEffect(effect)
	}
}

// recordAttemptEffect records an effect on a single attempt of a request.
func (p *Process) recordAttemptEffect(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.Reserve:
		p.addToJournal(f.ID, "memory asked for", fmt.Sprintf("attempt %d, %s, %d tokens", f.Attempt, f.Upstream, f.MemoryTokens))
	case dispatch.Send:
		p.recordSend(f)
	case dispatch.Resume:
		p.metrics.Count("streams_resumed_total", 1)
		p.addToJournal(f.ID, "resumed", fmt.Sprintf("attempt %d, %s, from token %d", f.Attempt, f.Upstream, f.Offset))
	case dispatch.Call:
		p.addToJournal(f.ID, "called", fmt.Sprintf("attempt %d, %s", f.Attempt, f.Upstream))
		p.countRetry(f.ID, f.Attempt)
	case dispatch.Cancel:
		p.metrics.Count("cancels_sent_total", 1)
		p.addToJournal(f.ID, "cancelled", fmt.Sprintf("attempt %d, %s", f.Attempt, f.Upstream))
	}
}

// recordSend records that an attempt is sent to a group of engines.
func (p *Process) recordSend(f dispatch.Send) {
	upstreams := make([]string, len(f.Group))
	for i, m := range f.Group {
		upstreams[i] = m.Upstream
	}
	p.addToJournal(f.ID, "sent", fmt.Sprintf("attempt %d, %v, priority %s", f.Attempt, upstreams, f.Priority))
	p.countRetry(f.ID, f.Attempt)
}

// countRetry counts and logs an attempt that is not the first of its request.
func (p *Process) countRetry(id string, attempt uint32) {
	if attempt == 1 {
		return
	}
	p.metrics.Count("requests_retried_total", 1)
	logevent.RequestRetried.Emit(p.log, log.Fields{"request": id, "attempt": attempt})
}

// addToJournal records a decision about a request in the journal.
func (p *Process) addToJournal(request, decision, detail string) {
	p.journal.Record(request, time.Now(), decision, detail)
}

// applyConfigurationEffect carries out an effect of the configuration tracker:
// calls to the object API, log entries, and the switch to a new version.
func (p *Process) applyConfigurationEffect(effect configuration.Effect) {
	if p.configurationSource.Execute(effect) {
		return
	}
	source.LogEffect(p.log, effect)
	if f, ok := effect.(configuration.Apply); ok {
		cfg := f.Configuration
		p.catalogue.Store(callers.NewCatalogue(f.Version, &cfg))
		p.metrics.Gauge("configuration_version", float64(f.Version))
	}
}

// applyMembershipEffect logs a change of the members, and passes it on to the
// parts of the process that depend on it. A process whose name was taken by a
// later one stops.
func (p *Process) applyMembershipEffect(f router.MembershipEffect) {
	switch m := f.Effect.(type) {
	case membership.MemberChanged:
		p.claimPeers.updateMember(m.Host, m.Address, m.State)
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

// setProbeTargets replaces the set of upstreams to probe.
func (p *Process) setProbeTargets(targets []router.Target) {
	list := make([]probe.Target, len(targets))
	for i, t := range targets {
		list[i] = probe.Target(t)
	}
	p.prober.Watch(list)
}
