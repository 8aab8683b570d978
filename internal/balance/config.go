package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config sets the trade-offs of a Core.
type Config struct {
	// Host and DataCentre are this host's own.
	Host       string
	DataCentre string
	// RetryRatio, RetryWindow and RetrySlack bound repeated sends over all
	// hosts, per service: in any window, ratio x requests + slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  int
	// Hold is the lease of reserved memory. Longer survives lost renewals,
	// shorter returns the memory of a host that died.
	Hold time.Duration
	// Policy chooses between the placement that predicts and the plain one
	// that it is measured against.
	Policy Policy
}

// Policy names a way of placing.
type Policy string

// Policies.
const (
	// PolicyPredict places by predicted pauses and first events.
	PolicyPredict Policy = "predict"
	// PolicyPlain takes the upstream with the fewest requests of this host.
	PolicyPlain Policy = "plain"
)

// Validate returns every problem of the configuration.
func (c Config) Validate() finding.List {
	var findings finding.List
	if c.Host == "" {
		findings.Add("Host", "must not be empty")
	}
	if c.RetryWindow <= 0 {
		findings.Add("RetryWindow", "must be above 0")
	}
	if c.Hold <= 0 {
		findings.Add("Hold", "must be above 0")
	}
	if c.Policy != PolicyPredict && c.Policy != PolicyPlain {
		findings.Add("Policy", "must be predict or plain")
	}
	return findings
}

// Placement.
const (
	// longRead is the reading time above which a prompt counts as long and is
	// placed away from the short ones: about two passes of an engine.
	longRead = 120 * time.Millisecond
	// comfort is the part of an objective up to which a prediction costs
	// nothing; the rest is room for what arrives before it comes true.
	comfort = 0.65
	// lateLoss is the part of an answer's worth that is lost by being late.
	lateLoss = 0.75
	// abandonAt is the multiple of an objective at which callers leave.
	abandonAt = 8.0
	// tokensPerWeight is the prompt length that weighs as much as a request.
	tokensPerWeight = 10000.0
	// laneCost is the cost of the far end of the upstreams' order, which keeps
	// short and long prompts at different ends of it.
	laneCost = 0.03
	// jitterCost varies the costs at random, for each other host, so that hosts
	// which decide in the same moments, and know nothing of each other's choice
	// yet, choose differently.
	jitterCost = 0.0007
	// remoteCost is the cost of an upstream in another data centre.
	remoteCost = 0.02
	// memberCost is the cost of each further server that a prompt depends on.
	memberCost = 0.004
	// backlogCost prices the reading time ahead on a server for what will arrive
	// there, per square of backlogScale: what is behind waits, and each pause
	// grows, in proportion to it.
	backlogCost  = 0.8
	backlogScale = time.Second
	// largeFleet is the number of other hosts from which on backlogCost counts
	// twice.
	largeFleet = 32.0
	// failureCost multiplies the share of failures seen at an upstream.
	failureCost = 2.0
	// crowdedAt is the share of slots above which a server costs more, since
	// other hosts may be placing there at the same moment.
	crowdedAt = 0.75
	// memoryShare is the part of a server's memory that is planned for; the
	// rest covers rounding to blocks and answers longer than announced.
	memoryShare = 0.96
	// holderShare is the part of a server's memory that a prompt takes at most
	// when several hold it, so that their streams keep room.
	holderShare = 0.5
	// maxMembers is how many further servers may share the reading.
	maxMembers = 15
)

// Attempts.
const (
	// firstPieceSlack and firstPieceFactor bound the wait for a stream's first
	// event beyond its prediction, before another upstream is tried.
	firstPieceSlack  = 900 * time.Millisecond
	firstPieceFactor = 3
	// firstPart is the part of what callers of streams bear for which the first
	// event is waited for at least.
	firstPart = 0.5
	// minPieceWithin is the shortest pause within a stream after which another
	// upstream is tried. Callers leave after 2 s, and going on elsewhere takes
	// about 0.2 s.
	minPieceWithin = 1700 * time.Millisecond
	// piecePart is the part of the longest pause that callers bear.
	piecePart = 0.6
	// minBorne is how long callers of streams wait at least.
	minBorne = 2 * time.Second
	// bornePauses and borneTargets are the multiples of the objectives for
	// pauses and the first piece that callers bear at least.
	bornePauses  = 8
	borneTargets = 4
	// connectPart is the part of the time left that may go into connecting.
	connectPart = 4
	// maxConnect bounds connecting: one round trip and its variation between
	// data centres of a region, far below the first repeat of a lost packet.
	maxConnect = 350 * time.Millisecond
	// hopefulAnswer divides the length planned for an answer, which is twice the
	// likely one, for the question whether it could be in time at best.
	hopefulAnswer = 4
	// minLeft is the time left under which nothing is sent any more.
	minLeft = 20 * time.Millisecond
	// safeAnswerFactor times the route's target is how long an answer to a
	// safe request may take before it is asked elsewhere.
	safeAnswerFactor = 1
)

// Queue.
const (
	// waitPart is the part of an objective that a request may wait and still be
	// in time; the rest goes into reading and the first pass.
	waitPart = 0.5
	// waitMargin is the time before callers leave by which a waiting request is
	// refused, so that they learn when to come back.
	waitMargin = 200 * time.Millisecond
	// maxQueue bounds the requests waiting in a host.
	maxQueue = 256
	// holdCost is the multiple of a request's weight above which the harm of
	// placing it now makes it wait, for at most holdPart of the time that
	// callers bear.
	holdCost = 0.4
	holdPart = 0.45
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// emptyRetryAfter is told while a service has no upstream; one comes back
	// within about two seconds of a store outage.
	emptyRetryAfter = time.Second
	// groupBackoff is the pause after a group did not get its memory.
	groupBackoff = 60 * time.Millisecond
)

// Health of upstreams.
const (
	// healthHalfLife halves the weight of what was seen of an upstream.
	healthHalfLife = 4 * time.Second
	// firstBackoff and maxBackoff bound how long an upstream that could not be
	// connected to is passed over; it doubles with each failure.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// fullBackoff passes over an upstream that refused for lack of room.
	fullBackoff = 80 * time.Millisecond
	// movedBackoff passes over an address at which another server answered,
	// until the registrations catch up.
	movedBackoff = 5 * time.Second
	// priorSeen and priorFailed are the requests assumed before any was seen.
	priorSeen   = 4.0
	priorFailed = 0.1
)

// Work of other hosts.
const (
	// expirySlack is how long after its deadline work of another host is kept
	// if nothing more is heard of it.
	expirySlack = time.Second
)
