package dispatch

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// suspectAfter is the number of failed health checks or refused connections in
// a row from which an upstream gets no new work while others are left.
const suspectAfter = 2

// reportLag is how much older than its request a load report may be.
const reportLag = 300 * time.Millisecond

// upstream is what this host believes about one engine or plain service.
type upstream struct {
	name       string
	address    string
	dataCentre string
	service    string

	listed   bool
	leaving  bool
	gone     bool
	failures int

	reported bool
	report   LoadReported
	models   []string

	// Own work in flight.
	requests int
	prefill  int
	memory   int
	// longs counts own long prompts not yet prefilled, and longPrefill their tokens.
	longs       int
	longPrefill int
	// deltas are changes by this host that the last report may not show yet.
	deltas       []delta
	deltaPrefill int
	deltaMemory  int

	// peers is the other hosts' work, ordered by host, and others its sum.
	peers    []peerShare
	others   PeerWork
	prefixes prefixTable
}

// delta is one change of an engine's load by this host.
type delta struct {
	at      time.Duration
	prefill int
	memory  int
}

// peerShare is what one other host has in flight on an engine.
type peerShare struct {
	host string
	work PeerWork
}

// charge is what one attempt counts for on one member.
type charge struct {
	prefill int
	memory  int
	// long says that a long prompt is still to be prefilled.
	long bool
	// light says that the memory counts as that of a request that is not long.
	light bool
}

// usable says whether new work may go to the upstream.
func (u *upstream) usable() bool {
	return u.listed && !u.leaving && !u.gone && u.failures < suspectAfter
}

// holds says whether the engine has the model loaded.
func (u *upstream) holds(model string) bool {
	_, found := slices.BinarySearch(u.models, model)
	return found
}

func (u *upstream) prefillRate(cfg *Config) float64 {
	if u.report.PrefillRate > 0 {
		return u.report.PrefillRate
	}
	return cfg.PrefillRate
}

func (u *upstream) decodeStep(cfg *Config) time.Duration {
	if u.report.DecodeStep > 0 {
		return u.report.DecodeStep
	}
	return cfg.DecodeStep
}

func (u *upstream) memoryTotal(cfg *Config) int {
	if u.report.MemoryTotal > 0 {
		return u.report.MemoryTotal
	}
	return cfg.EngineMemory
}

// backlog predicts the prompt tokens the engine has yet to process: the larger
// of its report corrected by own changes, and of what the hosts have in flight.
func (u *upstream) backlog(now time.Duration) int {
	reported := u.report.PrefillBacklog
	if reported > 0 && u.report.PrefillRate > 0 {
		since := (now - u.report.RequestedAt).Seconds()
		reported = max(0, reported-int(since*u.report.PrefillRate))
	}
	return max(0, reported+u.deltaPrefill, u.prefill+u.others.PrefillTokens)
}

// backlogAhead is the part of the backlog that goes before a request that is
// not long: engines process long prompts, whose priority is lower, after it.
func (u *upstream) backlogAhead(now time.Duration) int {
	return max(0, u.backlog(now)-u.longPrefill-u.others.LongTokens)
}

// memoryUsed predicts the KV memory held on the engine, in tokens.
func (u *upstream) memoryUsed() int {
	return max(u.report.MemoryUsed+u.deltaMemory, u.memory+u.others.MemoryTokens)
}

// memoryFree predicts the KV memory that a new request can have, in tokens.
func (u *upstream) memoryFree(cfg *Config) int {
	total := u.memoryTotal(cfg)
	headroom := int(float64(total) * cfg.MemoryHeadroom)
	return total - headroom - u.memoryUsed()
}

func (u *upstream) change(now time.Duration, prefill, memory int) {
	u.prefill += prefill
	u.memory += memory
	u.deltas = append(u.deltas, delta{at: now, prefill: prefill, memory: memory})
	u.deltaPrefill += prefill
	u.deltaMemory += memory
}

// settle forgets the changes that a report asked for at the time given shows.
func (u *upstream) settle(asked time.Duration) {
	n := 0
	for n < len(u.deltas) && u.deltas[n].at < asked-reportLag {
		u.deltaPrefill -= u.deltas[n].prefill
		u.deltaMemory -= u.deltas[n].memory
		n++
	}
	u.deltas = append(u.deltas[:0], u.deltas[n:]...)
}

// charge books the current attempt on every member of its group.
func (c *Core) charge(now time.Duration, r *request) {
	r.charged = r.charged[:0]
	members := len(r.group)
	for i, u := range r.group {
		ch := charge{
			prefill: divideUp(r.cost.uncached, members),
			memory:  divideUp(r.PromptTokens, members),
			long:    c.lane(r) == laneLong,
			light:   c.lane(r) != laneLong,
		}
		if i == 0 {
			ch.memory += r.MaxTokens
		}
		u.requests++
		u.change(now, ch.prefill, ch.memory)
		if ch.long {
			u.longs++
			u.longPrefill += ch.prefill
		}
		if ch.light {
			c.lightMemory += ch.memory
		}
		r.charged = append(r.charged, ch)
	}
}

// prefilled takes the prompt's processing off the group's books.
func (c *Core) prefilled(now time.Duration, r *request) {
	for i, u := range r.group {
		ch := &r.charged[i]
		u.change(now, -ch.prefill, 0)
		if ch.long {
			u.longs--
			u.longPrefill -= ch.prefill
		}
		ch.prefill = 0
		ch.long = false
	}
}

// discharge takes everything of the current attempt off the group's books.
func (c *Core) discharge(now time.Duration, r *request) {
	if len(r.charged) == 0 {
		return
	}
	c.prefilled(now, r)
	for i, u := range r.group {
		u.requests--
		u.change(now, 0, -r.charged[i].memory)
		if r.charged[i].light {
			c.lightMemory -= r.charged[i].memory
		}
	}
	r.charged = r.charged[:0]
}

func divideUp(total, parts int) int {
	return (total + parts - 1) / parts
}

func (c *Core) upstreamListed(now time.Duration, e UpstreamListed) {
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
	c.upstreamsChanged()
}

func (c *Core) insertUpstream(u *upstream) {
	list := &c.engines
	if u.service != "" {
		list = &c.services
	}
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].name >= u.name })
	*list = slices.Insert(*list, i, u)
}

// upstreamUnlisted stops new work; work in flight goes on.
func (c *Core) upstreamUnlisted(e UpstreamUnlisted) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	u.listed = false
	c.upstreamsChanged()
	// A later listing under the same name is a new start.
	u.leaving = false
	if u.requests > 0 {
		return
	}
	u.gone = true
	delete(c.upstreams, e.Name)
	same := func(o *upstream) bool { return o == u }
	c.engines = slices.DeleteFunc(c.engines, same)
	c.services = slices.DeleteFunc(c.services, same)
}

func (c *Core) upstreamLeaving(name string) {
	if u := c.upstreams[name]; u != nil && !u.leaving {
		u.leaving = true
		c.upstreamsChanged()
	}
}

// upstreamsChanged drops the cached candidates.
func (c *Core) upstreamsChanged() {
	clear(c.views)
	c.dirty = true
}

func (c *Core) loadReported(now time.Duration, e LoadReported) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	was := u.usable()
	u.failures = 0
	u.leaving = u.leaving || e.Leaving
	if u.reported && e.RequestedAt < u.report.RequestedAt {
		return
	}
	models := slices.Clone(e.Models)
	slices.Sort(models)
	if was != u.usable() || !slices.Equal(models, u.models) {
		c.upstreamsChanged()
	}
	u.models = models
	u.reported = true
	u.report = e
	u.settle(e.RequestedAt)
	c.dirty = true
}

func (c *Core) reportFailed(e HealthCheckFailed) {
	c.noteFailure(e.Name, FailureNotRun)
}

// noteFailure counts signs that an upstream does not answer.
func (c *Core) noteFailure(name string, class FailureClass) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if class == FailureNotRun || class == FailureOutcomeUnknown {
		u.failures++
		c.upstreamsChanged()
	}
}

// suspectSilent stops believing engines whose reports have ceased.
func (c *Core) suspectSilent(now time.Duration) {
	if now < c.nextSuspect {
		return
	}
	c.nextSuspect = now + c.cfg.ReportTimeout/suspectChecks
	for _, u := range c.engines {
		timeout := c.cfg.ReportTimeout
		if u.dataCentre != c.cfg.DataCentre {
			timeout = c.cfg.FarReportTimeout
		}
		if u.reported && u.failures < suspectAfter && now-u.report.RequestedAt > timeout {
			u.failures = suspectAfter
			c.upstreamsChanged()
		}
	}
}

// suspectChecks is how often the age of reports is looked at within their timeout.
const suspectChecks = 10

// peerHost is what is known of another host of the data centre.
type peerHost struct {
	incarnation uint64
	state       HostState
	// finishing is an earlier incarnation that may still end its work.
	finishing uint64
}

// peerReported replaces what is known of a host's work on the upstreams named.
func (c *Core) peerReported(e PeerReported) {
	for _, w := range e.Work {
		if u := c.upstreams[w.Upstream]; u != nil {
			u.setPeer(e.Host, w)
		}
	}
	c.dirty = true
}

// clearPeer forgets a host's work on every engine.
func (c *Core) clearPeer(host string) {
	for _, u := range c.engines {
		u.setPeer(host, PeerWork{})
	}
}

// setPeer keeps a host's share; one without requests is dropped.
func (u *upstream) setPeer(host string, w PeerWork) {
	i, found := slices.BinarySearchFunc(u.peers, host, func(p peerShare, h string) int {
		return strings.Compare(p.host, h)
	})
	switch {
	case found && w.Requests == 0:
		u.others.add(u.peers[i].work, -1)
		u.peers = slices.Delete(u.peers, i, i+1)
	case found:
		u.others.add(u.peers[i].work, -1)
		u.others.add(w, 1)
		u.peers[i].work = w
	case w.Requests > 0:
		u.others.add(w, 1)
		u.peers = slices.Insert(u.peers, i, peerShare{host: host, work: w})
	}
}

// add adds another load, or takes it away with sign -1.
func (w *PeerWork) add(o PeerWork, sign int) {
	w.Requests += sign * o.Requests
	w.PrefillTokens += sign * o.PrefillTokens
	w.LongTokens += sign * o.LongTokens
	w.MemoryTokens += sign * o.MemoryTokens
}

func (c *Core) hostChanged(e HostChanged) {
	if e.Host == c.cfg.Host {
		return
	}
	h := c.hosts[e.Host]
	if e.Incarnation < h.incarnation {
		return
	}
	if e.State == HostDead || e.Incarnation > h.incarnation {
		c.clearPeer(e.Host)
	}
	h.incarnation = e.Incarnation
	h.state = e.State
	c.hosts[e.Host] = h
	c.dirty = true
}

func (c *Core) hostReplaced(e HostReplaced) {
	if !e.OldLeaving {
		return
	}
	h := c.hosts[e.Host]
	h.finishing = e.OldIncarnation
	c.hosts[e.Host] = h
}

// OwnWork returns what this host has in flight on each engine, ordered by
// name, for its peers.
func (c *Core) OwnWork() []PeerWork {
	var work []PeerWork
	for _, u := range c.engines {
		if u.requests == 0 {
			continue
		}
		work = append(work, PeerWork{
			Upstream:      u.name,
			Requests:      u.requests,
			PrefillTokens: u.prefill,
			LongTokens:    u.longPrefill,
			MemoryTokens:  u.memory,
		})
	}
	return work
}
