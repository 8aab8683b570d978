package balance

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/route"
)

const (
	// answerTimeout is how long a host waits for the answer of a coordinator, and
	// coordinatorBackoff how long it then avoids the coordinator. The timeout exceeds
	// the turns of two control threads on slow hosts; with a longer one, more requests
	// are late when a coordinator has failed.
	answerTimeout      = 100 * time.Millisecond
	coordinatorBackoff = time.Second
	// queryInterval is the time between two questions about the same request while it
	// waits at the coordinator. They show both hosts that the other one still runs.
	queryInterval = 250 * time.Millisecond
	// maxAnswerAge is the longest time since the last message about a request after
	// which the answer of its coordinator is still used. A process that was paused
	// finds older ones.
	maxAnswerAge = queryInterval + 3*answerTimeout
	// maxRejectedAnswers is the number of answers with servers that can't be used after
	// which a host chooses the servers of a request itself.
	maxRejectedAnswers = 2
	// maxNamedUpstreams is the largest number of servers that a question excludes.
	maxNamedUpstreams = 64
	// maxNamedInQuery is the largest number of servers and data centres that a question
	// of another host may name.
	maxNamedInQuery = 512
)

// PlacementQuery asks a coordinator to choose the servers of a request. Its times are
// relative to its sending. Hosts exchange it under the names of its fields.
type PlacementQuery struct {
	// Boot is the number of the run of the asking host's process, as in its reports.
	Boot uint64
	// RequestNumber identifies the request within the asking host. Number counts the
	// questions about it; one that repeats an earlier one has the same number.
	RequestNumber uint64
	Number        int
	// Service, Kind, the objectives, the lengths and the priority are those of the
	// request; see Arrived.
	Service        string
	Kind           route.Kind
	TargetLatency  time.Duration
	TargetPieceGap time.Duration
	PromptTokens   int
	AnswerTokens   int
	Priority       int
	// Age is the time since the request arrived, TimeLeft that until its deadline.
	Age      time.Duration
	TimeLeft time.Duration
	// Tried lists the servers to which the request was sent before, Excluded those, and
	// CutOff the data centres, to which the asking host sends nothing.
	Tried    []string
	Excluded []string
	CutOff   []string
	// Regions lists the regions in which the request may be served; nil stands for all.
	Regions []string
	// Organisation is that of the request; see Arrived. Returned is set when the request
	// has come back as it was told, Away how long after its first arrival that was.
	Organisation string
	Returned     bool
	Away         time.Duration
}

// PlacementOutcome tells what an answer means.
type PlacementOutcome int

// The outcomes. The numbers are sent to other hosts.
const (
	// PlacementQueued means that the request waits at the coordinator.
	PlacementQueued PlacementOutcome = iota + 1
	// PlacementChosen means that the answer names the servers.
	PlacementChosen
	// PlacementRefused means that the request is to be refused.
	PlacementRefused
	// PlacementDeclined means that the coordinator can't choose, for a reason that may
	// not concern the asking host.
	PlacementDeclined
)

// String returns the name of the outcome for metrics.
func (o PlacementOutcome) String() string {
	switch o {
	case PlacementQueued:
		return "queued"
	case PlacementChosen:
		return "chosen"
	case PlacementRefused:
		return "refused"
	case PlacementDeclined:
		return "declined"
	default:
		return "unknown"
	}
}

// Check returns an error if a question of another host can't be one.
func (q *PlacementQuery) Check() error {
	for _, field := range []struct {
		name  string
		value int64
	}{
		{"PromptTokens", int64(q.PromptTokens)},
		{"AnswerTokens", int64(q.AnswerTokens)},
		{"TargetLatency", int64(q.TargetLatency)},
		{"TargetPieceGap", int64(q.TargetPieceGap)},
		{"Age", int64(q.Age)},
		{"TimeLeft", int64(q.TimeLeft)},
		{"Away", int64(q.Away)},
	} {
		if field.value < 0 {
			return errors.Errorf("placement query for request %d: %s is %d, must not be negative", q.RequestNumber, field.name, field.value)
		}
	}
	if named := len(q.Tried) + len(q.Excluded) + len(q.CutOff) + len(q.Regions); named > maxNamedInQuery {
		return errors.Errorf("placement query for request %d names %d servers, data centres and regions, at most %d are accepted", q.RequestNumber, named, maxNamedInQuery)
	}
	return nil
}

// PlacementAnswer is a coordinator's answer to a PlacementQuery. Hosts exchange it under
// the names of its fields.
type PlacementAnswer struct {
	// RequestNumber and Number are those of the question.
	RequestNumber uint64
	Number        int
	Outcome       PlacementOutcome
	// Code and RetryAfter are the reason for a refusal and the time after which the
	// caller may come back.
	Code       ErrorCode
	RetryAfter time.Duration
	// Shortage, Harm and HarmLimit tell what a refused request lacked; see Refuse.
	Shortage  Shortage
	Harm      float64
	HarmLimit float64
	// Members lists the ids of the chosen servers, the leader first. The other fields
	// are those of the plan: the prefill time of each part, the memory to reserve on
	// each of the first holders, and the predicted time to the first piece.
	Members             []string
	PartPrefillTime     time.Duration
	ReservedTokens      int
	MemoryHolders       int
	PredictedFirstPiece time.Duration
	// Cold lists the members that the coordinator knew to be cold, and has counted in its
	// share.
	Cold []string
	// Choice describes the decision, for logs.
	Choice PlacementChoice
}

// Check returns an error if the answer of another host can't be one.
func (a *PlacementAnswer) Check() error {
	if max(len(a.Members), len(a.Cold)) > maxHelpers+1 {
		return errors.Errorf("placement answer for request %d names %d servers, at most %d are accepted", a.RequestNumber, len(a.Members), maxHelpers+1)
	}
	if min(a.RetryAfter, a.PartPrefillTime, a.PredictedFirstPiece) < 0 || min(a.ReservedTokens, a.MemoryHolders) < 0 {
		return errors.Errorf("placement answer for request %d has a negative time or size", a.RequestNumber)
	}
	return nil
}

// coordination is the state of a host with regard to coordinators. In a large fleet, what
// each host would have to hear of all others costs more than a small host has, and what
// it hears late makes it choose servers that others have just chosen. There one host of
// each data centre, the coordinator, chooses the servers for the requests of all its
// hosts; only coordinators hear of all work.
type coordination struct {
	// coordinators lists the hosts that may coordinate this data centre, in order of
	// preference, and coordinatedDataCentres is the number of data centres with
	// coordinators.
	coordinators           []coordinator
	coordinatedDataCentres int
	// asked holds the requests of other hosts that this one chooses servers for, until a
	// while after the answer. queryRates counts them by service.
	asked      map[requestKey]*request
	queryRates map[string]*startRate
}

// coordinator is a host that may coordinate this data centre.
type coordinator struct {
	host string
	// avoidUntil is the time until which it is not asked.
	avoidUntil time.Duration
}

// query is the state of the question about one request of this host.
type query struct {
	// to is the coordinator that was asked; empty if none is.
	to string
	// number is the number of the question.
	number int
	// contactAt is when the last message about the request was sent or received,
	// repeatAt when the question is due again, and answerBy the time by which the
	// coordinator must have answered.
	contactAt, repeatAt, answerBy time.Duration
	// excluded holds the servers of answers that could not be used, by id; rejected is
	// the number of these answers.
	excluded map[string]bool
	rejected int
	// declined is set when this host chooses the servers itself after all.
	declined bool
}

// newCoordination returns the state of a host without coordinators.
func newCoordination() coordination {
	return coordination{asked: make(map[requestKey]*request), queryRates: make(map[string]*startRate)}
}

// setCoordinators replaces the hosts that may coordinate this data centre, and keeps what
// is known about those that are still there.
func (c *Core) setCoordinators(hosts []string, dataCentres int) {
	known := make(map[string]coordinator, len(c.coordinators))
	for _, k := range c.coordinators {
		known[k.host] = k
	}
	c.coordinators, c.coordinatedDataCentres = nil, dataCentres
	for _, host := range hosts {
		c.coordinators = append(c.coordinators, coordinator{host: host, avoidUntil: known[host].avoidUntil})
	}
}

// coordinates reports whether this host may be asked by the others of its data centre, so
// that it hears of all work.
func (c *Core) coordinates() bool {
	return slices.ContainsFunc(c.coordinators, func(k coordinator) bool { return k.host == c.config.Host })
}

// placingHosts returns the number of hosts that choose servers at the same time without
// knowing of each other's choices at once.
func (c *Core) placingHosts() int {
	if c.coordinates() {
		return max(1, c.coordinatedDataCentres)
	}
	return c.otherHosts + 1
}

// chooseCoordinator returns the host to ask for the servers of a request; empty if this
// host chooses them itself.
func (c *Core) chooseCoordinator(now time.Duration) string {
	for _, k := range c.coordinators {
		switch {
		case k.host == c.config.Host:
			return ""
		case now >= k.avoidUntil:
			return k.host
		}
	}
	return ""
}

// awaitsCoordinator reports whether the servers of a waiting request are for a coordinator
// to choose, and asks it if that is due.
func (c *Core) awaitsCoordinator(r *request, now time.Duration) bool {
	q := &r.query
	if r.asker != nil || q.declined {
		return false
	}
	if q.to != "" && now > q.answerBy {
		c.avoidCoordinator(q.to, now-q.contactAt, now)
		q.to = ""
	}
	to := c.chooseCoordinator(now)
	if to == "" {
		q.to = ""
		return false
	}
	if to == q.to && now < q.repeatAt {
		return true
	}
	if to != q.to {
		q.to = to
		q.number++
	}
	q.contactAt, q.repeatAt, q.answerBy = now, now+queryInterval, now+answerTimeout
	c.emit(QueryPlacement{Host: to, Query: c.newQuery(r, now)})
	return true
}

// avoidCoordinator keeps requests away from a coordinator that did not answer.
func (c *Core) avoidCoordinator(host string, silence, now time.Duration) {
	for i, k := range c.coordinators {
		if k.host == host && now >= k.avoidUntil {
			c.coordinators[i].avoidUntil = now + coordinatorBackoff
			c.emit(CoordinatorSilent{Host: host, Silence: silence})
		}
	}
}

// newQuery returns the question about a request.
func (c *Core) newQuery(r *request, now time.Duration) PlacementQuery {
	q := PlacementQuery{
		Boot: c.bootNumber, RequestNumber: r.RequestNumber, Number: r.query.number, Service: r.Service, Kind: r.Route.Kind,
		TargetLatency: r.Route.TargetLatency, TargetPieceGap: r.Route.TargetPieceGap,
		PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Priority: r.Priority,
		Age: now - r.arrivedAt, TimeLeft: r.Deadline - now, Regions: r.Regions,
		Organisation: r.Organisation, Returned: r.returned, Away: r.cameAt - r.arrivedAt,
	}
	for _, u := range c.upstreamsOf(r.Service) {
		switch {
		case r.tried[u.ID] && len(q.Tried) < maxNamedUpstreams:
			q.Tried = append(q.Tried, u.ID)
		case (c.barred(u, r) != "" || u.avoided(now) || u.intake.resting(now) || r.query.excluded[u.ID]) && len(q.Excluded) < maxNamedUpstreams:
			q.Excluded = append(q.Excluded, u.ID)
		}
	}
	for _, dataCentre := range c.dataCentres {
		if c.path(dataCentre).cut {
			q.CutOff = append(q.CutOff, dataCentre)
		}
	}
	return q
}

// handlePlacementAnswered applies the answer of a coordinator. An answer to an earlier
// question is dropped, and so is one that this host reads so late that the coordinator
// no longer counts on it.
func (c *Core) handlePlacementAnswered(e PlacementAnswered, now time.Duration) {
	r := c.requests[e.Answer.RequestNumber]
	if r == nil || !r.waiting || r.query.to != e.Host || r.query.number != e.Answer.Number {
		return
	}
	q := &r.query
	if now-q.contactAt > maxAnswerAge {
		q.to = ""
		return
	}
	switch e.Answer.Outcome {
	case PlacementQueued:
		q.contactAt, q.repeatAt, q.answerBy = now, now+queryInterval, now+queryInterval+answerTimeout
	case PlacementChosen:
		e.Answer.Choice.Coordinator = e.Host
		c.startChosen(r, e.Answer, now)
	case PlacementRefused:
		q.to = ""
		c.removeFromQueue(r)
		c.refuseAsAnswered(r, e.Answer, now)
	default:
		q.to, q.declined = "", true
		c.removeFromQueue(r)
		c.placeOrEnqueue(r, now)
	}
}

// startChosen starts an attempt with the servers that a coordinator has chosen. If one of
// them can't be used here, the request is asked about again.
func (c *Core) startChosen(r *request, a PlacementAnswer, now time.Duration) {
	p := &plan{
		partPrefillTime: a.PartPrefillTime, reservedTokens: a.ReservedTokens, memoryHolders: a.MemoryHolders,
		predictedFirstPiece: a.PredictedFirstPiece, choice: &a.Choice,
	}
	q := &r.query
	q.to = ""
	for i, id := range a.Members {
		u := c.upstreams[id]
		if u != nil && c.mayFollow(u, r, a, i == 0, now) {
			p.members = append(p.members, u)
			continue
		}
		if q.excluded == nil {
			q.excluded = make(map[string]bool)
		}
		q.excluded[id] = true
	}
	if len(p.members) < len(a.Members) || len(p.members) == 0 || a.MemoryHolders > len(p.members) {
		q.rejected++
		q.declined = q.rejected >= maxRejectedAnswers
		return
	}
	c.removeFromQueue(r)
	c.startAttempt(r, p, now)
}

// mayFollow reports whether a server that a coordinator has chosen can be used here. One that
// the coordinator took for warm has not been counted in a share.
func (c *Core) mayFollow(u *upstream, r *request, a PlacementAnswer, leads bool, now time.Duration) bool {
	if u.Service != r.Service || c.barred(u, r) != "" || c.path(u.DataCentre).cut || leads && u.intake.resting(now) {
		return false
	}
	return !c.isCold(u, now) || slices.Contains(a.Cold, u.ID)
}

// refuseAsAnswered ends a request that its coordinator refuses.
func (c *Core) refuseAsAnswered(r *request, a PlacementAnswer, now time.Duration) {
	r.lastCode = a.Code
	if r.possibleRuns > 0 {
		c.endRequest(r, now)
		return
	}
	delete(c.requests, r.RequestNumber)
	c.promiseReturn(r, a.Code, a.RetryAfter, now)
	c.emit(Refuse{RequestNumber: r.RequestNumber, Code: a.Code, RetryAfter: a.RetryAfter, Returned: r.returned, QueueTime: now - r.queuedAt, QueueLength: len(c.waiting), Shortage: a.Shortage, Harm: a.Harm, HarmLimit: a.HarmLimit})
}

// withdrawQuery tells the coordinators that a request needs no servers any more.
func (c *Core) withdrawQuery(r *request) {
	if r.query.to != "" {
		r.query.to = ""
		c.pendingReport.Ended = append(c.pendingReport.Ended, ReportedEnd{RequestNumber: r.RequestNumber, Class: FailureCallerLeft})
	}
}
