package balance

import (
	"slices"
	"time"
)

// WorkReport is a host's report to the other hosts about its own work. Reports
// may be lost. A full report, which is sent every fullReportInterval, corrects
// what a lost report left wrong.
//
// Hosts exchange reports as arrays of values without field names, so the order
// and the number of the fields are a part of the protocol: hosts of another release
// can't read a report with more or fewer. The same holds for ReportedWork and
// ReportedEnd.
type WorkReport struct {
	// Boot is a number that differs between the runs of the host's process. A
	// new number shows that all work reported under the old one has ended.
	Boot uint64
	// Full is set when Work lists all the work of the host; otherwise Work
	// lists only what has started since the last report.
	Full bool
	// Work lists the host's work, one entry for each upstream that a request
	// uses.
	Work []ReportedWork
	// Decoding lists the numbers of the requests whose answers have begun since
	// the last report.
	Decoding []uint64
	// Ended lists the attempts that have ended since the last report.
	Ended []ReportedEnd
}

// ReportedWork is the part of one request's load that falls on one upstream.
// Its times are relative to the sending of the report, so that hosts need no
// common clock.
type ReportedWork struct {
	// RequestNumber identifies the request within the reporting host.
	RequestNumber uint64
	// Upstream is the id of the upstream.
	Upstream string
	// Leader is set when the upstream answers the request; otherwise it helps
	// with the prefill or holds a part of the KV memory.
	Leader bool
	// Decoding is set when the answer has begun.
	Decoding bool
	// PrefillTime is how long the prefill takes on the upstream.
	PrefillTime time.Duration
	// MemoryTokens is the KV memory used on the upstream, in tokens.
	MemoryTokens int
	// ContextTokens is the number of tokens that each decode step attends to on
	// the upstream.
	ContextTokens int
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// TargetLatency and TargetPieceGap are the objectives of the request's
	// route.
	TargetLatency  time.Duration
	TargetPieceGap time.Duration
	// Age is the time since the request arrived at the host.
	Age time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// ReportedEnd reports how an attempt of a request ended.
type ReportedEnd struct {
	// RequestNumber identifies the request within the reporting host.
	RequestNumber uint64
	// Upstream is the id of the upstream that was to answer.
	Upstream string
	// Class is the way in which the attempt failed; empty if the whole answer
	// was delivered.
	Class FailureClass
}

// fullReportInterval is the time between two reports in which a host lists all
// its work.
const fullReportInterval = time.Second

// peer is what this host knows about another host: the boot number in its last
// report, and when that report was received.
type peer struct {
	bootNumber   uint64
	lastReceived time.Duration
	// cutOffUntil is the time until which the host counts as cut off from all upstreams,
	// unless it says so again.
	cutOffUntil time.Duration
}

// receiveReport applies another host's report to the ledgers and to the health
// of the upstreams.
func (c *Core) receiveReport(host string, report WorkReport, now time.Duration) {
	p := c.recordAlive(host, now)
	if report.Full || report.Boot != p.bootNumber {
		p.bootNumber = report.Boot
		c.dropUnreportedWork(host, report.Work, now)
	}
	for _, e := range report.Ended {
		c.recordEnd(host, e, now)
	}
	for _, reported := range report.Work {
		c.recordReportedWork(host, reported, now)
	}
	for _, number := range report.Decoding {
		c.recordDecoding(requestKey{host, number}, now)
	}
}

// recordEnd applies the end of another host's attempt, or of its question to this host.
// It comes before the work of the same report, in which the request's next attempt may
// be listed.
func (c *Core) recordEnd(host string, e ReportedEnd, now time.Duration) {
	key := requestKey{host, e.RequestNumber}
	if e.Upstream == "" {
		c.forgetAsked(key)
	}
	if !c.isOtherGrant(key, e.Upstream) {
		c.dropWork(key, now)
	}
	if u := c.upstreams[e.Upstream]; u != nil && e.Class != FailureCallerLeft {
		c.recordReportedOutcome(u, e.Class, now)
		c.doubtPath(host, u, e.Class, now)
	}
}

// recordAlive records that another host was heard of, and returns its state.
func (c *Core) recordAlive(host string, now time.Duration) *peer {
	p := c.peers[host]
	if p == nil {
		p = &peer{lastReceived: now - 2*maxPeerSilence}
		c.peers[host] = p
	}
	if now-p.lastReceived > maxPeerSilence {
		c.quarantine.AnnounceSoon(now)
	}
	p.lastReceived = now
	return p
}

// handleHostsAlive records that other hosts were heard of by the one that passes their
// reports on.
func (c *Core) handleHostsAlive(e HostsAlive, now time.Duration) {
	for _, host := range e.Hosts {
		if host != c.config.Host {
			c.recordAlive(host, now)
		}
	}
}

// dropUnreportedWork removes a host's work that is missing from the list of all
// work that the host still has.
func (c *Core) dropUnreportedWork(host string, reported []ReportedWork, now time.Duration) {
	stillActive := make(map[uint64]bool, len(reported))
	for _, item := range reported {
		stillActive[item.RequestNumber] = true
	}
	var gone []uint64
	for number := range c.work[host] {
		if !stillActive[number] && !c.isFreshGrant(requestKey{host, number}, now) {
			gone = append(gone, number)
		}
	}
	slices.Sort(gone)
	for _, number := range gone {
		c.dropWork(requestKey{host, number}, now)
	}
}

// recordReportedWork enters another host's work in the ledger of its upstream,
// or refreshes the entry if the work is already known. Only a leader's work that
// is not decoding yet counts as the start of a request: other work began
// earlier, or belongs to a request that its leader's entry counts.
func (c *Core) recordReportedWork(host string, reported ReportedWork, now time.Duration) {
	u := c.upstreams[reported.Upstream]
	if u == nil {
		return
	}
	key := requestKey{host, reported.RequestNumber}
	c.dropOtherGrant(key, reported.Upstream, now)
	if known := u.find(key); known != nil {
		known.reportedAt = now
		if known.granted {
			known.granted, known.expires = false, now+reported.TimeLeft+expiryMargin
		}
		if reported.Decoding {
			u.completePrefill(known, now)
		}
		return
	}
	if !reported.Decoding {
		u.intake.recordStart(now)
	}
	if reported.Leader && !reported.Decoding {
		c.servicePool(u.Service).recordStart(now)
	}
	w := &workItem{
		key: key, isLeader: reported.Leader, prefillTime: reported.PrefillTime, memoryTokens: reported.MemoryTokens, contextTokens: reported.ContextTokens,
		weight: requestWeight(reported.PromptTokens), targetLatency: reported.TargetLatency, targetPieceGap: reported.TargetPieceGap,
		arrivedAt: now - reported.Age, expires: now + reported.TimeLeft + expiryMargin, reportedAt: now,
	}
	if reported.Decoding {
		w.prefillTime = 0
	}
	c.addWork(u, w, now)
	if reported.Decoding {
		u.completePrefill(w, now)
	}
}

// queueWorkReport adds new work of this host to the next report.
func (c *Core) queueWorkReport(u *upstream, w *workItem, r *request, now time.Duration) {
	c.pendingReport.Work = append(c.pendingReport.Work, newReportedWork(u, w, r.PromptTokens, now))
}

// newReportedWork returns a work item in the form in which it is reported.
func newReportedWork(u *upstream, w *workItem, promptTokens int, now time.Duration) ReportedWork {
	return ReportedWork{
		RequestNumber: w.key.requestNumber, Upstream: u.ID, Leader: w.isLeader, Decoding: w.decoding,
		PrefillTime: w.prefillTime, MemoryTokens: w.memoryTokens, ContextTokens: w.contextTokens, PromptTokens: promptTokens,
		TargetLatency: w.targetLatency, TargetPieceGap: w.targetPieceGap, Age: now - w.arrivedAt, TimeLeft: w.expires - now,
	}
}

// sendReport emits the report that is due, if any: all own work once per
// fullReportInterval, otherwise what is new. Work that has started is reported
// at once, since other hosts may be placing requests on the same upstream.
// Everything else waits for a tick.
func (c *Core) sendReport(now time.Duration, onTick bool) {
	if c.otherHosts == 0 {
		c.pendingReport = WorkReport{}
		return
	}
	if now-c.lastFullReport >= fullReportInterval {
		c.lastFullReport = now
		c.pendingReport.Full = true
		c.pendingReport.Work = c.ownWork(now)
		c.pendingReport.Decoding = nil
	}
	if !c.pendingReport.Full && len(c.pendingReport.Work) == 0 && (!onTick || len(c.pendingReport.Decoding)+len(c.pendingReport.Ended) == 0) {
		return
	}
	c.pendingReport.Boot = c.bootNumber
	c.emit(BroadcastReport{Report: c.pendingReport})
	c.pendingReport = WorkReport{}
}

// ownWork lists all work of this host.
func (c *Core) ownWork(now time.Duration) []ReportedWork {
	var all []ReportedWork
	for _, r := range c.requests {
		for _, u := range r.members {
			if w := u.find(r.key()); w != nil {
				all = append(all, newReportedWork(u, w, r.PromptTokens, now))
			}
		}
	}
	return all
}
