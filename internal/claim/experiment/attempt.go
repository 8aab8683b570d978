package experiment

import (
	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// answered goes on with an attempt after its claim was answered. Each step is
// an event of its own, so that a kill or a pause may come between any two.
func (a *attempt) answered(e shard.Answer) {
	w := a.host.world
	if a.record == nil || a.record.Kind != OpClaim {
		a.late(e)
		return
	}
	w.counts[e.Decision]++
	w.history.end(w, a.record, e.Decision, e.Outcome)
	a.record = nil
	a.settled = e.Decision != shard.Refused
	a.granted = e.Decision == shard.Granted
	if !a.granted {
		return
	}
	w.waits = append(w.waits, w.now-a.asked)
	step := w.upTo(w.config.ActionTime)
	if w.chance(w.config.RefuseShare) {
		w.after(step, a.host.alive(a.giveBack))
		return
	}
	w.after(step, a.host.alive(a.run))
}

// late gives back a grant that nobody waits for any more, unless the attempt
// was granted before by another way.
func (a *attempt) late(e shard.Answer) {
	if e.Decision == shard.Granted && !a.granted {
		a.host.local(a, shard.Abandon{ID: idOf(a.key), Token: a.token})
	}
}

// leave ends an attempt whose caller went before the answer came.
func (a *attempt) leave() {
	w := a.host.world
	if a.record == nil || a.record.Kind != OpClaim {
		return
	}
	w.counts[shard.Refused]++
	w.history.end(w, a.record, shard.Refused, shard.Outcome{})
	a.record = nil
	if !w.config.ForwardToOwner {
		a.host.local(a, shard.Abandon{ID: idOf(a.key), Token: a.token})
	}
}

// unanswered goes on without the owner that a message was sent to.
func (a *attempt) unanswered(record *Record, e shard.Event) {
	_, isClaim := e.(shard.Claim)
	switch {
	case isClaim && !a.settled:
		a.leave()
		a.host.local(a, shard.Abandon{ID: idOf(a.key), Token: a.token})
	case !isClaim && a.record == record && record.Return == 0:
		a.host.local(a, e)
	}
}

// run sends the action upstream. Once sent it is carried out whatever becomes
// of the host.
func (a *attempt) run() {
	w := a.host.world
	w.after(w.upTo(w.config.ActionTime), func() {
		w.history.execute(a)
		w.after(w.upTo(w.config.ActionTime), a.host.alive(a.complete))
	})
}

func (a *attempt) complete() {
	w := a.host.world
	a.record = w.history.call(w, a, OpComplete)
	a.record.own(a.outcome)
	a.host.send(a, shard.Complete{ID: idOf(a.key), Token: a.token, Outcome: a.outcome})
}

func (a *attempt) giveBack() {
	w := a.host.world
	a.record = w.history.call(w, a, OpGiveBack)
	a.host.send(a, shard.GiveBack{ID: idOf(a.key), Token: a.token})
}

func (a *attempt) recorded(e shard.Recorded) {
	if e.Lost {
		return
	}
	w := a.host.world
	w.history.end(w, a.record, 0, shard.Outcome{})
	a.record = nil
}
