package dispatch

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// suspectThreshold is the number of failed health checks or failed attempts in
// a row from which an upstream is suspected and gets no new work. Attempts
// count if the upstream did not run them, or if it is not known whether it did.
// A load report of the upstream starts the count again.
const suspectThreshold = 2

// maxReportLag is how much older than the request for it the content of a load
// report may be.
const maxReportLag = 300 * time.Millisecond

// upstream is what this host knows about one engine or plain service.
type upstream struct {
	name       string
	address    string
	dataCentre string
	service    string

	// listed is set while the platform's list or a peer names the upstream,
	// leaving once it has announced that it stops, and gone once it is removed
	// from the tables. failures counts the failures in a row; an engine whose
	// last report is too old gets the value suspectThreshold.
	listed   bool
	leaving  bool
	gone     bool
	failures int

	hasReport bool
	report    LoadReported
	models    []string

	// ownRequests, ownPrefill and ownMemory are this host's work in flight on
	// the upstream: the number of requests, their prompt tokens not yet
	// processed, and their KV memory in tokens.
	ownRequests int
	ownPrefill  int
	ownMemory   int
	// ownLongPrompts is the number of this host's long prompts that are not yet
	// processed, and ownLongPrefill the number of their tokens.
	ownLongPrompts int
	ownLongPrefill int
	// unreportedChanges are the changes of the load by this host that the last
	// report may not show yet, oldest first. unreportedPrefill and
	// unreportedMemory are their sums.
	unreportedChanges []loadChange
	unreportedPrefill int
	unreportedMemory  int

	// peerWork is the work of the other hosts, ordered by host, and peerTotal
	// its sum.
	peerWork       []hostWork
	peerTotal      PeerWork
	cachedPrefixes prefixTable
}

// loadChange is one change of an engine's load by this host. The differences
// are in tokens and may be negative.
type loadChange struct {
	at           time.Duration
	prefillDelta int
	memoryDelta  int
}

// hostWork is the work that one other host has in flight on an engine.
type hostWork struct {
	host string
	work PeerWork
}

// memberLoad is the load that one attempt adds to one member of its group.
type memberLoad struct {
	prefillTokens int
	memoryTokens  int
	// longPrompt is set while a long prompt is still to be processed.
	longPrompt bool
	// nonLong is set if the memory counts towards Core.nonLongMemory.
	nonLong bool
}

// usable reports whether new work may go to the upstream.
func (u *upstream) usable() bool {
	return u.listed && !u.leaving && !u.gone && u.failures < suspectThreshold
}

// hasModel reports whether the engine has the model loaded.
func (u *upstream) hasModel(model string) bool {
	_, found := slices.BinarySearch(u.models, model)
	return found
}

// prefillRate returns the engine's prefill rate in tokens a second, as reported
// or else as configured.
func (u *upstream) prefillRate(cfg *Config) float64 {
	if u.report.PrefillRate > 0 {
		return u.report.PrefillRate
	}
	return cfg.PrefillRate
}

// decodeStep returns the engine's time per generated token, as reported or else
// as configured.
func (u *upstream) decodeStep(cfg *Config) time.Duration {
	if u.report.DecodeStep > 0 {
		return u.report.DecodeStep
	}
	return cfg.DecodeStep
}

// memoryTotal returns the engine's KV memory in tokens, as reported or else as
// configured.
func (u *upstream) memoryTotal(cfg *Config) int {
	if u.report.MemoryTotal > 0 {
		return u.report.MemoryTotal
	}
	return cfg.EngineMemory
}

// backlog predicts how many prompt tokens the engine has yet to process. It
// takes the larger of two values: the engine's report, corrected by the time
// since and by this host's own changes, and the work that all hosts have in
// flight there.
func (u *upstream) backlog(now time.Duration) int {
	reportedBacklog := u.report.PrefillBacklog
	if reportedBacklog > 0 && u.report.PrefillRate > 0 {
		elapsedSeconds := (now - u.report.RequestedAt).Seconds()
		reportedBacklog = max(0, reportedBacklog-int(elapsedSeconds*u.report.PrefillRate))
	}
	return max(0, reportedBacklog+u.unreportedPrefill, u.ownPrefill+u.peerTotal.PrefillTokens)
}

// backlogBeforeLong returns the part of the backlog that is processed before a
// new request that is not long. Long prompts have a lower priority, so the
// engine processes them after it.
func (u *upstream) backlogBeforeLong(now time.Duration) int {
	return max(0, u.backlog(now)-u.ownLongPrefill-u.peerTotal.LongPromptTokens)
}

// memoryUsed predicts the KV memory that is held on the engine, in tokens.
func (u *upstream) memoryUsed() int {
	return max(u.report.MemoryUsed+u.unreportedMemory, u.ownMemory+u.peerTotal.MemoryTokens)
}

// memoryFree predicts the KV memory that a new request can have, in tokens,
// without the headroom.
func (u *upstream) memoryFree(cfg *Config) int {
	total := u.memoryTotal(cfg)
	headroom := int(float64(total) * cfg.MemoryHeadroom)
	return total - headroom - u.memoryUsed()
}

// changeOwnLoad changes this host's load on the engine by the given numbers of
// tokens, which may be negative.
func (u *upstream) changeOwnLoad(now time.Duration, prefillDelta, memoryDelta int) {
	u.ownPrefill += prefillDelta
	u.ownMemory += memoryDelta
	u.unreportedChanges = append(u.unreportedChanges, loadChange{at: now, prefillDelta: prefillDelta, memoryDelta: memoryDelta})
	u.unreportedPrefill += prefillDelta
	u.unreportedMemory += memoryDelta
}

// dropReportedChanges drops the changes that a report shows if it was requested
// at the given time.
func (u *upstream) dropReportedChanges(requestedAt time.Duration) {
	n := 0
	for n < len(u.unreportedChanges) && u.unreportedChanges[n].at < requestedAt-maxReportLag {
		u.unreportedPrefill -= u.unreportedChanges[n].prefillDelta
		u.unreportedMemory -= u.unreportedChanges[n].memoryDelta
		n++
	}
	u.unreportedChanges = append(u.unreportedChanges[:0], u.unreportedChanges[n:]...)
}

// addAttemptLoad adds the load of the current attempt to every member of its
// group. The leader also holds the memory for the answer.
func (c *Core) addAttemptLoad(now time.Duration, r *request) {
	r.memberLoads = r.memberLoads[:0]
	members := len(r.group)
	for i, u := range r.group {
		load := memberLoad{
			prefillTokens: ceilDiv(r.cost.uncachedTokens, members),
			memoryTokens:  ceilDiv(r.PromptTokens, members),
			longPrompt:    c.sizeClass(r) == sizeLong,
			nonLong:       c.sizeClass(r) != sizeLong,
		}
		if i == 0 {
			load.memoryTokens += r.MaxTokens
		}
		u.ownRequests++
		u.changeOwnLoad(now, load.prefillTokens, load.memoryTokens)
		if load.longPrompt {
			u.ownLongPrompts++
			u.ownLongPrefill += load.prefillTokens
		}
		if load.nonLong {
			c.nonLongMemory += load.memoryTokens
		}
		r.memberLoads = append(r.memberLoads, load)
	}
}

// removePrefillLoad removes the processing of the prompt from the load of the
// group's members.
func (c *Core) removePrefillLoad(now time.Duration, r *request) {
	for i, u := range r.group {
		load := &r.memberLoads[i]
		u.changeOwnLoad(now, -load.prefillTokens, 0)
		if load.longPrompt {
			u.ownLongPrompts--
			u.ownLongPrefill -= load.prefillTokens
		}
		load.prefillTokens = 0
		load.longPrompt = false
	}
}

// removeAttemptLoad removes everything that the current attempt added to the
// load of the group's members.
func (c *Core) removeAttemptLoad(now time.Duration, r *request) {
	if len(r.memberLoads) == 0 {
		return
	}
	c.removePrefillLoad(now, r)
	for i, u := range r.group {
		u.ownRequests--
		u.changeOwnLoad(now, 0, -r.memberLoads[i].memoryTokens)
		if r.memberLoads[i].nonLong {
			c.nonLongMemory -= r.memberLoads[i].memoryTokens
		}
	}
	r.memberLoads = r.memberLoads[:0]
}

// ceilDiv divides and rounds up.
func ceilDiv(total, parts int) int {
	return (total + parts - 1) / parts
}

// handleUpstreamListed adds an upstream or updates it. A new address clears the
// count of failures, since another process may run there.
func (c *Core) handleUpstreamListed(now time.Duration, e UpstreamListed) {
	u := c.upstreams[e.Name]
	if u == nil {
		u = &upstream{name: e.Name, service: e.Service}
		c.upstreams[e.Name] = u
		c.insertUpstream(u)
	}
	if u.address != e.Address || u.gone {
		u.failures = 0
		u.gone = false
	}
	u.address = e.Address
	u.dataCentre = e.DataCentre
	u.listed = true
	u.leaving = u.leaving || e.Leaving
	c.invalidateCandidates()
}

// insertUpstream adds an upstream to the engines or the services, at its place
// in the order of names.
func (c *Core) insertUpstream(u *upstream) {
	list := &c.engines
	if u.service != "" {
		list = &c.services
	}
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].name >= u.name })
	*list = slices.Insert(*list, i, u)
}

// handleUpstreamUnlisted stops new work on an upstream and removes it from the
// tables. One with work of this host in flight stays there, so that the work can
// end.
func (c *Core) handleUpstreamUnlisted(e UpstreamUnlisted) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	u.listed = false
	c.invalidateCandidates()
	// If the upstream is listed again under the same name, it is treated as a
	// new process.
	u.leaving = false
	if u.ownRequests > 0 {
		return
	}
	u.gone = true
	delete(c.upstreams, e.Name)
	same := func(o *upstream) bool { return o == u }
	c.engines = slices.DeleteFunc(c.engines, same)
	c.services = slices.DeleteFunc(c.services, same)
}

// handleUpstreamLeaving stops new work on an upstream that announced that it is
// stopping.
func (c *Core) handleUpstreamLeaving(name string) {
	if u := c.upstreams[name]; u != nil && !u.leaving {
		u.leaving = true
		c.invalidateCandidates()
	}
}

// invalidateCandidates clears the cached candidates, because the usable
// upstreams or their models changed.
func (c *Core) invalidateCandidates() {
	clear(c.candidateSets)
	c.passNeeded = true
}

// handleLoadReported takes a load report into account. Any report shows that
// the upstream answers; only one that was requested no earlier than the last
// one replaces what is known about the load.
func (c *Core) handleLoadReported(now time.Duration, e LoadReported) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	wasUsable := u.usable()
	u.failures = 0
	u.leaving = u.leaving || e.Leaving
	if u.hasReport && e.RequestedAt < u.report.RequestedAt {
		return
	}
	models := slices.Clone(e.Models)
	slices.Sort(models)
	if wasUsable != u.usable() || !slices.Equal(models, u.models) {
		c.invalidateCandidates()
	}
	u.models = models
	u.hasReport = true
	u.report = e
	u.dropReportedChanges(e.RequestedAt)
	c.passNeeded = true
}

// handleHealthCheckFailed counts a failed health check.
func (c *Core) handleHealthCheckFailed(e HealthCheckFailed) {
	c.recordFailure(e.Name, FailureNotRun)
}

// recordFailure counts a failure that may mean that an upstream does not
// answer.
func (c *Core) recordFailure(name string, class FailureClass) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if class == FailureNotRun || class == FailureOutcomeUnknown {
		u.failures++
		c.invalidateCandidates()
	}
}

// suspectStaleReports suspects the engines whose last report is too old.
func (c *Core) suspectStaleReports(now time.Duration) {
	if now < c.nextReportAgeCheck {
		return
	}
	c.nextReportAgeCheck = now + c.cfg.ReportTimeout/reportAgeChecks
	for _, u := range c.engines {
		timeout := c.cfg.ReportTimeout
		if u.dataCentre != c.cfg.DataCentre {
			timeout = c.cfg.FarReportTimeout
		}
		if u.hasReport && u.failures < suspectThreshold && now-u.report.RequestedAt > timeout {
			u.failures = suspectThreshold
			c.invalidateCandidates()
		}
	}
}

// reportAgeChecks is the number of times that the age of reports is checked
// within Config.ReportTimeout.
const reportAgeChecks = 10

// peerHost is what is known about another host of the data centre.
type peerHost struct {
	incarnation uint64
	state       HostState
	// leavingIncarnation is an earlier incarnation that stopped gracefully and
	// may still be finishing its work.
	leavingIncarnation uint64
}

// handlePeerReported replaces what is known about a host's work on the
// upstreams that the report names.
func (c *Core) handlePeerReported(e PeerReported) {
	for _, w := range e.Work {
		if u := c.upstreams[w.Upstream]; u != nil {
			u.setPeerWork(e.Host, w)
		}
	}
	c.passNeeded = true
}

// clearPeerWork drops a host's work on every engine.
func (c *Core) clearPeerWork(host string) {
	for _, u := range c.engines {
		u.setPeerWork(host, PeerWork{})
	}
}

// setPeerWork replaces a host's work on the engine; work without requests is
// dropped.
func (u *upstream) setPeerWork(host string, w PeerWork) {
	i, found := slices.BinarySearchFunc(u.peerWork, host, func(p hostWork, h string) int {
		return strings.Compare(p.host, h)
	})
	switch {
	case found && w.Requests == 0:
		u.peerTotal.add(u.peerWork[i].work, -1)
		u.peerWork = slices.Delete(u.peerWork, i, i+1)
	case found:
		u.peerTotal.add(u.peerWork[i].work, -1)
		u.peerTotal.add(w, 1)
		u.peerWork[i].work = w
	case w.Requests > 0:
		u.peerTotal.add(w, 1)
		u.peerWork = slices.Insert(u.peerWork, i, hostWork{host: host, work: w})
	}
}

// add adds the numbers of o, or subtracts them if sign is -1.
func (w *PeerWork) add(o PeerWork, sign int) {
	w.Requests += sign * o.Requests
	w.PrefillTokens += sign * o.PrefillTokens
	w.LongPromptTokens += sign * o.LongPromptTokens
	w.MemoryTokens += sign * o.MemoryTokens
}

// handleHostChanged updates the state of another host. The work of a host that
// died, or that started again, is dropped until it reports anew.
func (c *Core) handleHostChanged(e HostChanged) {
	if e.Host == c.cfg.Host {
		return
	}
	h := c.peerHosts[e.Host]
	if e.Incarnation < h.incarnation {
		return
	}
	if e.State == HostDead || e.Incarnation > h.incarnation {
		c.clearPeerWork(e.Host)
	}
	h.incarnation = e.Incarnation
	h.state = e.State
	c.peerHosts[e.Host] = h
	c.passNeeded = true
}

// handleHostReplaced remembers an earlier incarnation that was stopping
// gracefully, so that its work is not cancelled before its deadline.
func (c *Core) handleHostReplaced(e HostReplaced) {
	if !e.OldLeaving {
		return
	}
	h := c.peerHosts[e.Host]
	h.leavingIncarnation = e.OldIncarnation
	c.peerHosts[e.Host] = h
}

// OwnWork returns the work that this host has in flight on each engine, ordered
// by the engines' names. The host reports it to its peers.
func (c *Core) OwnWork() []PeerWork {
	var work []PeerWork
	for _, u := range c.engines {
		if u.ownRequests == 0 {
			continue
		}
		work = append(work, PeerWork{
			Upstream:         u.name,
			Requests:         u.ownRequests,
			PrefillTokens:    u.ownPrefill,
			LongPromptTokens: u.ownLongPrefill,
			MemoryTokens:     u.ownMemory,
		})
	}
	return work
}
