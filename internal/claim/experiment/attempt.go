package experiment

import (
	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// handleAnswer continues an attempt after its claim was answered. Each step is a
// scheduled call of its own, so that the host may be killed or paused between
// any two steps.
func (a *attempt) handleAnswer(e shard.Answer) {
	sim := a.host.simulation
	if a.record == nil || a.record.Kind != OpClaim {
		a.handleLateAnswer(e)
		return
	}
	sim.decisionCounts[e.Decision]++
	sim.history.end(sim, a.record, e.Decision, e.Outcome)
	a.record = nil
	a.decided = e.Decision != shard.Refused
	a.granted = e.Decision == shard.Granted
	if !a.granted {
		return
	}
	sim.grantWaits = append(sim.grantWaits, sim.now-a.askedAt)
	step := sim.randomBelow(sim.config.ActionTime)
	if sim.occurs(sim.config.RefuseShare) {
		sim.scheduleAfter(step, a.host.whenRunning(a.giveBack))
		return
	}
	sim.scheduleAfter(step, a.host.whenRunning(a.sendAction))
}

// handleLateAnswer handles an answer that nobody waits for any more. A granted
// claim is abandoned, unless the attempt was already granted the claim by an
// earlier answer.
func (a *attempt) handleLateAnswer(e shard.Answer) {
	if e.Decision == shard.Granted && !a.granted {
		a.host.stepOwnCore(a, shard.Abandon{ID: idOf(a.key), Token: a.token})
	}
}

// hangUp ends an attempt whose caller stops waiting before the answer arrives. The
// claim counts as refused. If claims are not forwarded, the host's own core
// abandons the claim at once; otherwise handleForwardTimeout or handleLateAnswer
// does that.
func (a *attempt) hangUp() {
	sim := a.host.simulation
	if a.record == nil || a.record.Kind != OpClaim {
		return
	}
	sim.decisionCounts[shard.Refused]++
	sim.history.end(sim, a.record, shard.Refused, shard.Outcome{})
	a.record = nil
	if !sim.config.ForwardToOwner {
		a.host.stepOwnCore(a, shard.Abandon{ID: idOf(a.key), Token: a.token})
	}
}

// handleForwardTimeout continues an attempt without the owner, if the owner has
// not answered the message e. The caller of a claim hangs up and the host
// abandons the claim; anything else is passed to the host's own core.
func (a *attempt) handleForwardTimeout(record *Record, e shard.Event) {
	_, isClaim := e.(shard.Claim)
	switch {
	case isClaim && !a.decided:
		a.hangUp()
		a.host.stepOwnCore(a, shard.Abandon{ID: idOf(a.key), Token: a.token})
	case !isClaim && a.record == record && record.Return == 0:
		a.host.stepOwnCore(a, e)
	}
}

// sendAction sends the action upstream. Once sent it is carried out, whatever
// happens to the host.
func (a *attempt) sendAction() {
	sim := a.host.simulation
	sim.scheduleAfter(sim.randomBelow(sim.config.ActionTime), func() {
		sim.history.recordExecution(a)
		sim.scheduleAfter(sim.randomBelow(sim.config.ActionTime), a.host.whenRunning(a.complete))
	})
}

// complete records the outcome of the action.
func (a *attempt) complete() {
	sim := a.host.simulation
	a.record = sim.history.begin(sim, a, OpComplete)
	a.record.setOutcomeAttempt(a.outcome)
	a.host.send(a, shard.Complete{ID: idOf(a.key), Token: a.token, Outcome: a.outcome})
}

// giveBack gives the claim back because the upstream refused the action.
func (a *attempt) giveBack() {
	sim := a.host.simulation
	a.record = sim.history.begin(sim, a, OpGiveBack)
	a.host.send(a, shard.GiveBack{ID: idOf(a.key), Token: a.token})
}

// handleRecordResult ends the call in progress if the store was changed.
func (a *attempt) handleRecordResult(e shard.RecordResult) {
	if e.NotRecorded {
		return
	}
	sim := a.host.simulation
	sim.history.end(sim, a.record, 0, shard.Outcome{})
	a.record = nil
}
