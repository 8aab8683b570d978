package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the settings of a Core.
type Config struct {
	// Host is the name of this host, DataCentre that of its data centre.
	Host       string
	DataCentre string
	// RetryRatio, RetryWindow and RetrySlack bound the retries of each service
	// over all hosts together: within any window of the length RetryWindow
	// there are at most RetryRatio times the number of requests, plus
	// RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  int
	// ColdFactor and ColdSlack bound what a cold server may get from all hosts together in
	// any second: ColdFactor times the rate that its service declares, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// Hold is the time for which reserved memory is held unless the reservation
	// is renewed. With a longer time a reservation survives lost renewals; with
	// a shorter one the memory that a dead host had reserved is free again
	// sooner.
	Hold time.Duration
	// Policy selects the placement policy.
	Policy Policy
}

// Policy names a way of placing requests on upstreams.
type Policy string

// TickInterval is the time between two ticks of a core. At each tick it checks its
// queue and its memory reservations and emits the reports that are due to other
// hosts. The interval is shorter than one pass of an engine.
const TickInterval = 20 * time.Millisecond

// The placement policies.
const (
	// PolicyPredict places requests by predicted pauses and first events.
	PolicyPredict Policy = "predict"
	// PolicyPlain selects the upstream with the fewest requests that this host
	// knows of. It is the baseline against which the predictive policy is
	// measured.
	PolicyPlain Policy = "plain"
)

// Validate returns a finding for every setting that is not valid.
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

// Placement: the costs by which upstreams are compared. A cost of 1 is the
// whole worth of one answer of weight 1; see requestWeight and latenessCost.
const (
	// longPrefillTime is the prefill time above which a prompt counts as long
	// and is placed away from short ones: about two passes of an engine.
	longPrefillTime = 120 * time.Millisecond
	// costFreeShare is the share of an objective up to which a predicted time
	// costs nothing. The rest is a margin for work that arrives before the
	// predicted moment.
	costFreeShare = 0.65
	// lateAnswerLoss is the share of an answer's worth that is lost when it is
	// late.
	lateAnswerLoss = 0.75
	// abandonMultiple is the multiple of an objective at which callers give up,
	// so that the answer has lost all its worth.
	abandonMultiple = 8.0
	// tokensPerWeight is the prompt length that weighs as much as one request:
	// each such number of tokens adds 1 to a request's weight.
	tokensPerWeight = 10000.0
	// positionCost is the cost of the last upstream in the order that a prompt
	// prefers. Short and long prompts prefer opposite orders, so that they are
	// kept on different upstreams.
	positionCost = 0.03
	// filledPositionCost is the same for a short prompt where coordinators choose. A
	// coordinator knows all choices for its data centre and can fill servers one after
	// the other. With a lower cost, short streams are on all servers, and long prompts
	// find none without them; with a higher one, short prompts wait for each other.
	filledPositionCost = 0.3
	// jitterCost is the largest random cost, for each other host, that is added
	// to an upstream. It makes hosts choose differently when they decide at the
	// same moment and do not know of each other's choices yet.
	jitterCost = 0.0007
	// remotePromptCost is the cost of an upstream in another data centre.
	remotePromptCost = 0.02
	// contestedUpstreamCost is the same for a short prompt where coordinators choose. With a
	// lower one, the coordinators choose the same upstreams before they hear of each other,
	// and prompts find no slot; with a higher one, a crowded data centre sends too few of
	// them elsewhere.
	contestedUpstreamCost = 0.32
	// helperCost is the cost of each further server that a prompt depends on.
	helperCost = 0.004
	// backlogCost is the cost of a prefill backlog of one backlogScale on a
	// server; it grows with the square of the backlog. It stands for requests
	// that will arrive there later: each of them waits, and each pause gets
	// longer, in proportion to the backlog.
	backlogCost  = 0.8
	backlogScale = time.Second
	// largeFleetHosts is the number of other hosts from which on backlogCost
	// counts twice. Below it, the increase is in proportion to the number of
	// hosts.
	largeFleetHosts = 32.0
	// helperDelayShare is the share of the delay of a helper's part that counts as a delay
	// of its request, which waits only for the last of its parts. With a larger one,
	// prompts are kept apart more, and wait longer for servers that others do not use.
	helperDelayShare = 0.5
	// failureCost is multiplied by the share of failures seen on an upstream.
	failureCost = 2.0
	// crowdedSlotShare is the share of occupied slots above which a server
	// costs more, since other hosts may be placing requests on it at the same
	// moment.
	crowdedSlotShare = 0.75
	// usableMemoryShare is the share of a server's KV memory that placement
	// plans with. The rest covers rounding to memory blocks and answers that
	// are longer than announced.
	usableMemoryShare = 0.96
	// holderMemoryShare is the largest share of a server's memory that a prompt
	// takes when several servers hold it, so that the other streams of these
	// servers keep enough memory.
	holderMemoryShare = 0.5
	// maxCandidates is the largest number of upstreams that are compared for a request.
	// With more, a choice may be better, and takes more time.
	maxCandidates = 384
	// maxHelpers is the largest number of further servers that may share the
	// prefill of a prompt.
	maxHelpers = 15
)

// Attempts: time limits for connecting and for the pieces of an answer.
const (
	// firstPieceSlack and firstPieceFactor set how long the first event of a
	// stream is waited for before another upstream is tried: the predicted time
	// multiplied by the factor, plus the slack. firstPieceTimeoutShare gives the
	// lower limit of that wait.
	firstPieceSlack  = 900 * time.Millisecond
	firstPieceFactor = 3
	// firstPieceTimeoutShare is the shortest time for which the first event of a
	// stream is waited for, as a share of the delay that its callers tolerate.
	firstPieceTimeoutShare = 0.5
	// minFirstPieceTimeout is the shortest time for which the first event of a stream is
	// waited for: a sound server may be silent for about a second.
	minFirstPieceTimeout = 1300 * time.Millisecond
	// minPieceTimeout is the shortest pause within a stream after which another
	// upstream is tried. Callers leave after 2 s, and continuing on another
	// upstream takes about 0.2 s.
	minPieceTimeout = 1700 * time.Millisecond
	// pieceTimeoutShare is the pause after which a stream is continued on
	// another upstream, as a share of the delay that its callers tolerate.
	pieceTimeoutShare = 0.6
	// minToleratedDelay is the shortest delay that callers of streams tolerate.
	minToleratedDelay = 2 * time.Second
	// toleratedGapMultiple and toleratedLatencyMultiple are the multiples of
	// the objectives, for pauses and for the first piece, that callers tolerate
	// at least.
	toleratedGapMultiple     = 8
	toleratedLatencyMultiple = 4
	// connectTimeoutDivisor divides the time that is left until the deadline;
	// the result limits the time spent on connecting.
	connectTimeoutDivisor = 4
	// maxConnectTimeout bounds the time spent on connecting: one round trip and
	// its variation between the data centres of a region, far below the time
	// after which a lost packet is first sent again.
	maxConnectTimeout = 350 * time.Millisecond
	// optimisticAnswerDivisor divides the planned length of an answer when the
	// shortest possible time of a request is estimated. The planned length is
	// twice the likely one, so that half of the likely length is assumed.
	optimisticAnswerDivisor = 4
	// minTimeLeft is the time before the deadline from which on nothing is sent
	// any more.
	minTimeLeft = 20 * time.Millisecond
	// safeAnswerFactor multiplies the latency objective of the route. The
	// result is how long the answer to a safe request is waited for before
	// another upstream is asked.
	safeAnswerFactor = 1
)

// Queue: how long requests wait and when they are refused.
const (
	// maxWaitShare is the share of the latency objective that a request may
	// wait and still be in time. The rest is needed for the prefill and the
	// first pass.
	maxWaitShare = 0.5
	// refusalMargin is the time between the refusal of a waiting request and the
	// moment at which its caller would leave, so that the caller still learns
	// when to come back.
	refusalMargin = 200 * time.Millisecond
	// maxQueueLength is the largest number of requests that wait on one host.
	maxQueueLength = 256
	// postponeCost limits the cost that a new request may cause to others, as a
	// multiple of the request's own weight. Above it the request waits, for at
	// most postponeShare of the delay that its caller tolerates.
	postponeCost  = 0.5
	postponeShare = 0.45
	// minRetryAfter and maxRetryAfter bound the time after which refused
	// callers are told to come back.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// noUpstreamRetryAfter is the time after which callers are told to come
	// back while a service has no upstream. After a store outage one is
	// registered again within about two seconds.
	noUpstreamRetryAfter = time.Second
	// reservationBackoff is the shortest pause before another attempt when the
	// memory for a group of servers could not be reserved; a random part of up
	// to the same length is added.
	reservationBackoff = 60 * time.Millisecond
)

// Health of upstreams.
const (
	// healthHalfLife is the time after which an observation of an upstream
	// counts half.
	healthHalfLife = 4 * time.Second
	// firstBackoff and maxBackoff bound how long an upstream to which no
	// connection could be made is avoided. The time doubles with each failure.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// noCapacityBackoff is how long an upstream is avoided after it refused a
	// request for lack of capacity.
	noCapacityBackoff = 80 * time.Millisecond
	// serverReplacedBackoff is how long an upstream is avoided after another
	// server answered at its address; until then the registrations have caught
	// up.
	serverReplacedBackoff = 5 * time.Second
	// priorRequests and priorFailures are the numbers of requests and failures
	// that are assumed before any were seen.
	priorRequests = 4.0
	priorFailures = 0.1
)

// Work of other hosts.
const (
	// expiryMargin is how long after its deadline the work of another host is
	// kept if no further report names it.
	expiryMargin = time.Second
)
