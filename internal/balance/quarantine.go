package balance

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/quarantine"
	"github.com/chestnutline/chestnutline/internal/route"
)

const (
	// youngAnswerTime is the time from the first piece of an answer during which a
	// crash of its server may still be due to its prompt.
	youngAnswerTime = 250 * time.Millisecond
	// minUnansweredTime is the least time that a request without any answer must have
	// been at a server to be a suspect, unless the server was alive just before. What is in
	// front of a dead server may accept connections and reset them at once.
	minUnansweredTime = 20 * time.Millisecond
	// maxAnswerAgeOfAlive is the age of an upstream's last answer up to which it counts as
	// alive. It exceeds the time between two answers of a server that has little to do.
	maxAnswerAgeOfAlive = 2 * time.Second
	// soundAnswerTime is the time from the first piece of an answer after which its
	// prompt is taken to be sound.
	soundAnswerTime = 500 * time.Millisecond
	// maxPeerSilence is the time without a report after which another host is not
	// counted on for trials.
	maxPeerSilence = 3 * time.Second
	// answeringHosts is the mean number of hosts that answer a report which suspects a
	// part that they know to be sound.
	answeringHosts = 4
)

// QuarantineReport is what one host tells the others about parts of prompts and contents
// of requests. Hosts exchange it under the names of its fields.
type QuarantineReport struct {
	Crashes  []quarantine.Crash
	Verdicts []quarantine.Verdict
	// Sound lists parts that were seen in a sound answer although crashes or a
	// verdict had been reported for them.
	Sound []string
}

// empty reports whether there is nothing to tell.
func (q *QuarantineReport) empty() bool {
	return len(q.Crashes)+len(q.Verdicts)+len(q.Sound) == 0
}

// answeringAttempt is an attempt whose answer has begun a short while ago.
type answeringAttempt struct {
	request *request
	attempt int
	begunAt time.Duration
}

// QuarantinedParts returns the number of quarantined parts of prompts and contents of
// requests. The gateway exports it as a gauge.
func (c *Core) QuarantinedParts() int { return c.quarantine.Len() }

// CrashesRemembered reports whether the core asks for the contents of requests.
func (c *Core) CrashesRemembered() bool { return c.quarantine.Active() }

// contentNames returns the name of the request's content, as a list that is empty if it
// has none.
func (r *request) contentNames() []string {
	if r.Content == nil {
		return nil
	}
	if r.content == "" {
		r.content = r.Content()
	}
	return []string{r.content}
}

// namesOf returns the names by which a request may be blamed: the shared parts of its
// prompt and, while crashes are remembered, its content.
func (c *Core) namesOf(r *request) []string {
	if !c.quarantine.Active() {
		return r.SharedParts
	}
	return slices.Concat(r.SharedParts, r.contentNames())
}

// quarantinesOf returns the verdicts that hold for a request, and the time until the
// next trial, which is when the holds of all of them are over.
func (c *Core) quarantinesOf(r *request, now time.Duration) (verdicts []quarantine.Verdict, holdLeft time.Duration) {
	if c.quarantine.Len() == 0 {
		return nil, 0
	}
	verdicts = c.quarantine.Match(c.namesOf(r), now)
	for _, v := range verdicts {
		holdLeft = max(holdLeft, v.HoldLeft)
	}
	return verdicts, holdLeft
}

// isQuarantined reports whether a quarantine holds for a request.
func (c *Core) isQuarantined(r *request, now time.Duration) bool {
	verdicts, _ := c.quarantinesOf(r, now)
	return len(verdicts) > 0
}

// beginTrial lets a request through although it is quarantined, if the hold is over and
// this host is responsible for the trials. It counts for all verdicts that hold.
func (c *Core) beginTrial(r *request, now time.Duration) bool {
	verdicts, holdLeft := c.quarantinesOf(r, now)
	if len(verdicts) == 0 || holdLeft > 0 || !c.isTrialHost(verdicts[0].Part, now) {
		return false
	}
	r.isTrial = true
	for i := range verdicts {
		verdicts[i], _ = c.quarantine.BeginTrial(verdicts[i].Part, now)
		c.emit(QuarantineChanged{State: QuarantineTrial, Verdict: verdicts[i], RequestID: r.ID})
	}
	c.broadcastQuarantine(QuarantineReport{Verdicts: verdicts})
	return true
}

// isTrialHost reports whether this host comes first, among the hosts that it hears
// from, in the order of hosts that belongs to a part.
func (c *Core) isTrialHost(part string, now time.Duration) bool {
	own := xxhash.Sum64String(part + "/" + c.config.Host)
	for name, p := range c.peers {
		if now-p.lastReceived <= maxPeerSilence && xxhash.Sum64String(part+"/"+name) > own {
			return false
		}
	}
	return true
}

// recordCrash records that an upstream broke its connection for a request, after the
// header of its answer or before. It says nothing about the request if the answer had
// been under way for some time, or if there was no time to work on it and the upstream may
// have crashed before.
func (c *Core) recordCrash(r *request, u *upstream, begun bool, now time.Duration) {
	old := r.firstPieceAt > 0 && now-r.firstPieceAt > youngAnswerTime
	streamBegun := begun && r.Route.Kind == route.Stream
	crashedNow := u.recordBroken(r.sentAt, now)
	untouched := !streamBegun && now-r.sentAt < minUnansweredTime && !crashedNow
	names := slices.Concat(r.SharedParts, r.contentNames())
	if old || untouched || len(names) == 0 {
		return
	}
	crash, verdicts, withdrawn := c.quarantine.RecordCrash(quarantine.Crash{
		Server: fmt.Sprintf("%s/%d", u.ID, u.Incarnation), Host: c.config.Host, Begun: begun, Parts: names,
	}, now)
	if len(crash.Parts) > 0 {
		c.broadcastQuarantine(QuarantineReport{Crashes: []quarantine.Crash{crash}})
	}
	c.reportVerdicts(verdicts)
	c.reportReleased(withdrawn, "")
}

// reportVerdicts emits the verdicts that this host has reached. The other hosts
// reach them from the same crashes.
func (c *Core) reportVerdicts(verdicts []quarantine.Verdict) {
	for _, v := range verdicts {
		c.emit(QuarantineChanged{State: QuarantineBegun, Verdict: v})
	}
}

// recordAnswerBegun notes the first piece of an answer.
func (c *Core) recordAnswerBegun(r *request, now time.Duration) {
	if r.firstPieceAt > 0 || r.Route.Kind != route.Stream {
		return
	}
	r.firstPieceAt = now
	c.answering = append(c.answering, answeringAttempt{request: r, attempt: r.attempt, begunAt: now})
}

// recordSound records that a request with these names is being answered, or was.
func (c *Core) recordSound(r *request, names []string, now time.Duration) {
	cleared, released := c.quarantine.RecordSound(names, now)
	c.reportReleased(released, r.ID)
	c.broadcastQuarantine(QuarantineReport{Sound: cleared})
}

// reportReleased emits the ends of quarantines.
func (c *Core) reportReleased(parts []string, requestID string) {
	for _, part := range parts {
		c.emit(QuarantineChanged{State: QuarantineReleased, Verdict: quarantine.Verdict{Part: part}, RequestID: requestID})
	}
}

// updateQuarantine records the answers that have been under way for
// soundAnswerTime, and announces the verdicts that are due.
func (c *Core) updateQuarantine(now time.Duration) {
	for len(c.answering) > 0 && now-c.answering[0].begunAt > soundAnswerTime {
		begun := c.answering[0]
		c.answering = c.answering[1:]
		if c.requestOfAttempt(begun.request.RequestNumber, begun.attempt) == begun.request {
			c.recordSound(begun.request, c.namesOf(begun.request), now)
		}
	}
	if due := c.quarantine.Due(now); len(due) > 0 {
		c.broadcastQuarantine(QuarantineReport{Verdicts: due})
	}
}

// receiveQuarantineReport applies what another host has found out.
func (c *Core) receiveQuarantineReport(report QuarantineReport, now time.Duration) {
	var answer QuarantineReport
	for _, crash := range report.Crashes {
		suspected, verdicts, withdrawn := c.quarantine.RecordCrash(crash, now)
		c.reportVerdicts(verdicts)
		c.reportReleased(withdrawn, "")
		for _, part := range crash.Parts {
			if !slices.Contains(suspected.Parts, part) {
				answer.Sound = append(answer.Sound, part)
			}
		}
	}
	for _, v := range report.Verdicts {
		known := c.quarantine.Len()
		switch {
		case !c.quarantine.Adopt(v, now):
			answer.Sound = append(answer.Sound, v.Part)
		case c.quarantine.Len() > known:
			c.emit(QuarantineChanged{State: QuarantineBegun, Verdict: v})
		}
	}
	_, released := c.quarantine.RecordSound(report.Sound, now)
	c.reportReleased(released, "")
	// A few hosts answer a report that is wrong, and not all of them.
	if c.random.Float64()*float64(c.otherHosts+1) < answeringHosts {
		c.broadcastQuarantine(answer)
	}
}

// broadcastQuarantine tells the other hosts something, if there are any.
func (c *Core) broadcastQuarantine(report QuarantineReport) {
	if c.otherHosts > 0 && !report.empty() {
		c.emit(BroadcastQuarantine{Report: report})
	}
}
