package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Returns: requests that were refused for lack of room and told when to come back. They are
// remembered by their content on all hosts, since their callers come back to another one.
// A lost message costs their order in the queue, and nothing else.
const (
	// honouredShare is the share of the time left to a request for which its caller waits
	// at most before it comes back.
	honouredShare = 1.0 / 3
	// returnEarliness is how much sooner than it was told a request may come back, and
	// returnLateness how much later, to count as returned: callers round the time, and
	// need a new connection.
	returnEarliness = 150 * time.Millisecond
	returnLateness  = 1500 * time.Millisecond
	// returnedObjectives is the number of latency objectives, from its first arrival, for
	// which a returned request may wait for a time at which it harms others less;
	// minReturnedWait is the shortest such wait after its return, as a share of one.
	returnedObjectives = 2
	minReturnedWait    = 0.25
	// returnSpread is the random part of the time that a request is told to wait.
	returnSpread = 0.1
	// maxReturns is the largest number of requests that are remembered, and
	// maxReportedReturns that in a message.
	maxReturns         = 4096
	maxReportedReturns = 512
	// returnsInterval is the time between two messages about returns; see minRetryAfter,
	// within which they must have arrived.
	returnsInterval = 100 * time.Millisecond
)

// PromisedReturn is a request that was told to come back.
type PromisedReturn struct {
	// Content is a hash of the name of its content.
	Content uint64
	// Service is the service that is to answer, Work the time that it takes from one server.
	Service string
	Work    time.Duration
	// DueIn is the time in which it is to be back, Age that since it first arrived.
	DueIn time.Duration
	Age   time.Duration
}

// ReturnsReport is what one host tells the others about requests that were told to come
// back. Hosts exchange it under the names of its fields.
type ReturnsReport struct {
	Promised []PromisedReturn
	// Returned lists the contents of requests that have come back.
	Returned []uint64
}

// Check returns an error if the report of another host can't be one.
func (r *ReturnsReport) Check() error {
	if len(r.Promised) > maxReportedReturns || len(r.Returned) > maxReportedReturns {
		return errors.Errorf("report of %d returns to come and %d that came, at most %d are accepted", len(r.Promised), len(r.Returned), maxReportedReturns)
	}
	for _, p := range r.Promised {
		if p.DueIn < 0 || p.DueIn > maxRetryAfterOfReturns || p.Work < 0 || p.Age < 0 {
			return errors.Errorf("a return is due in %v and takes %v", p.DueIn, p.Work)
		}
	}
	return nil
}

// maxRetryAfterOfReturns is the longest time after which a request may be told to return.
const maxRetryAfterOfReturns = 10 * time.Minute

// promise is what is remembered of a request that was told to come back.
type promise struct {
	due, firstArrivedAt time.Duration
	service             string
	work                time.Duration
}

// returns holds the requests of all hosts that were told to come back, by content.
type returns struct {
	promised map[uint64]promise
	// pending is what the other hosts are told next, told when they last were.
	pending ReturnsReport
	toldAt  time.Duration
}

// competes reports whether a request takes part in the competition for room that is decided
// by organisations.
func (r *request) competes() bool { return r.Organisation != "" }

// contentHash returns the hash by which the request's content is remembered, and whether
// it has one.
func (r *request) contentHash() (hash uint64, ok bool) {
	names := r.contentNames()
	if len(names) == 0 {
		return 0, false
	}
	return xxhash.Sum64String(names[0]), true
}

// ContentsNeeded reports whether the core asks for the contents of requests as they arrive.
func (c *Core) ContentsNeeded() bool { return c.CrashesRemembered() || len(c.returns.promised) > 0 }

// ReturnsPromised returns the number of requests of all hosts that are to come back.
func (c *Core) ReturnsPromised() int { return len(c.returns.promised) }

// recogniseReturn notes whether a new request comes back as it was told. It does so once.
func (c *Core) recogniseReturn(r *request, now time.Duration) {
	if !r.competes() || len(c.returns.promised) == 0 {
		return
	}
	hash, ok := r.contentHash()
	p, known := c.returns.promised[hash]
	if !ok || !known || now < p.due-returnEarliness || now > p.due+returnLateness {
		return
	}
	r.returned, r.arrivedAt = true, p.firstArrivedAt
	delete(c.returns.promised, hash)
	if c.otherHosts > 0 && len(c.returns.pending.Returned) < maxReportedReturns {
		c.returns.pending.Returned = append(c.returns.pending.Returned, hash)
	}
}

// promiseReturn remembers when a refused request was told to come back, and tells the other
// hosts.
func (c *Core) promiseReturn(r *request, code ErrorCode, wait, now time.Duration) {
	if !r.competes() || r.asker != nil || code != CodeOverloaded || wait <= 0 || wait > maxRetryAfterOfReturns || len(c.returns.promised) >= maxReturns {
		return
	}
	hash, ok := r.contentHash()
	if !ok {
		return
	}
	p := PromisedReturn{Content: hash, Service: r.Service, Work: c.workOf(r), DueIn: wait, Age: now - r.arrivedAt}
	c.returns.promised[hash] = promise{due: now + wait, firstArrivedAt: r.arrivedAt, service: p.Service, work: p.Work}
	if c.otherHosts > 0 && len(c.returns.pending.Promised) < maxReportedReturns {
		c.returns.pending.Promised = append(c.returns.pending.Promised, p)
	}
}

// tellReturns forgets the requests that have not come back, and tells the other hosts about
// those that are to, or have.
func (c *Core) tellReturns(now time.Duration) {
	for hash, p := range c.returns.promised {
		if now > p.due+returnLateness {
			delete(c.returns.promised, hash)
		}
	}
	pending := c.returns.pending
	if len(pending.Promised)+len(pending.Returned) == 0 || now-c.returns.toldAt < returnsInterval {
		return
	}
	// What was told is remembered by the time it is due, which the message counts from now.
	for i, p := range pending.Promised {
		pending.Promised[i].DueIn = max(0, c.returns.promised[p.Content].due-now)
		pending.Promised[i].Age = now - c.returns.promised[p.Content].firstArrivedAt
	}
	pending.Promised = slices.DeleteFunc(pending.Promised, func(p PromisedReturn) bool { return p.DueIn == 0 })
	c.returns.pending, c.returns.toldAt = ReturnsReport{}, now
	if c.otherHosts > 0 {
		c.emit(BroadcastReturns{Report: pending})
	}
}

// handleReturnsReported remembers what another host has told callers.
func (c *Core) handleReturnsReported(e ReturnsReported, now time.Duration) {
	for _, p := range e.Report.Promised {
		if len(c.returns.promised) < maxReturns {
			c.returns.promised[p.Content] = promise{due: now + p.DueIn, firstArrivedAt: now - p.Age, service: p.Service, work: p.Work}
		}
	}
	for _, hash := range e.Report.Returned {
		delete(c.returns.promised, hash)
	}
}

// workOf returns the time for which a request occupies one server of its service: its
// prefill, and its slot for the likely answer.
func (c *Core) workOf(r *request) time.Duration {
	pool := c.servicePools[r.Service]
	if pool == nil || pool.service == nil || pool.service.Engine == nil || r.PromptTokens == 0 {
		return 0
	}
	e := pool.service.Engine
	slots := max(1, e.Slots)
	return prefillTime(e, r.PromptTokens, 1) + time.Duration(r.AnswerTokens/2)*e.StepTime/time.Duration(slots)
}

// roomAfter returns the time after which the servers of a request have worked off what is
// there, what waits ahead of it here and what was told to come back, so that each refused
// request is told a time of its own.
func (c *Core) roomAfter(r *request, now time.Duration) time.Duration {
	servers, ahead := 0, c.workOf(r)
	for _, u := range c.upstreamsOf(r.Service) {
		if c.barred(u, r) == "" {
			servers++
			ahead += u.backlog(now)
		}
	}
	for _, p := range c.returns.promised {
		if p.service == r.Service {
			ahead += p.work
		}
	}
	for _, other := range c.waiting {
		if other.Service == r.Service && other != r {
			ahead += c.workOf(other)
		}
	}
	return ahead / time.Duration(max(1, servers))
}

// returnAfter returns the time after which a request that competes may come back: when
// there will be room, but not later than its caller waits for and such that it can still
// be served. With less time left than minRetryAfter it is that.
func (c *Core) returnAfter(r *request, least, now time.Duration) time.Duration {
	timeLeft := r.Deadline - now
	latest := min(time.Duration(honouredShare*float64(timeLeft)), timeLeft-c.minServiceTime(r)-returnEarliness)
	wait := max(minRetryAfter, least, c.roomAfter(r, now))
	wait += time.Duration(returnSpread * c.random.Float64() * float64(wait))
	if wait > latest {
		wait = latest - time.Duration(returnSpread*c.random.Float64()*float64(latest))
	}
	return max(minRetryAfter, wait)
}
