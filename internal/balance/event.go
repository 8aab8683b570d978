package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// Event is something that happened.
type Event interface{ event() }

// Arrived says that a checked request of a caller came in.
type Arrived struct {
	// RequestNumber identifies the request within this host.
	RequestNumber uint64
	// ID is the caller's name for it, for logs.
	ID      string
	Route   *route.Route
	Service string
	// PromptTokens and AnswerTokens are the request's size.
	PromptTokens int
	AnswerTokens int
	// Priority orders requests when capacity is short; lower goes first.
	Priority int
	// Deadline is when the request must have ended.
	Deadline time.Duration
}

// FirstPiece says that an attempt's answer began.
type FirstPiece struct {
	RequestNumber uint64
	Attempt       int
}

// Finished says that an attempt's answer was delivered whole.
type Finished struct {
	RequestNumber uint64
	Attempt       int
}

// FailureClass says what is known of a failed attempt.
type FailureClass string

// Classes of failure.
const (
	// FailureNotConnected: no connection came about, so it was not run.
	FailureNotConnected FailureClass = "not_connected"
	// FailureNoCapacity: the upstream did not run it, for lack of room or time.
	FailureNoCapacity FailureClass = "full"
	// FailureServerReplaced: another server has the address.
	FailureServerReplaced FailureClass = "moved"
	// FailureAnswerLost: it was sent and no whole answer came; it may have run.
	FailureAnswerLost FailureClass = "lost"
	// FailureNoResponse: it was sent and nothing came for too long; it may be running.
	FailureNoResponse FailureClass = "silent"
	// FailureCallerLeft: the caller left, which says nothing about the upstream.
	FailureCallerLeft FailureClass = "abandoned"
	// FailureUpstreamError: the upstream ran it and answered with a failure.
	FailureUpstreamError FailureClass = "failed"
)

// ran says whether an attempt that failed so may have run.
func (c FailureClass) ran() bool {
	return c == FailureAnswerLost || c == FailureNoResponse || c == FailureUpstreamError
}

// AttemptFailed ends an attempt without a whole answer.
type AttemptFailed struct {
	RequestNumber uint64
	Attempt       int
	Class         FailureClass
	// FailedAddress is the address of the member at fault; empty for the first one.
	FailedAddress string
	// PartlyDelivered says that the caller has a part of the answer.
	PartlyDelivered bool
}

// CallerGone says that the caller hung up.
type CallerGone struct{ RequestNumber uint64 }

// ReservationResult answers a Reserve effect.
type ReservationResult struct {
	RequestNumber uint64
	Attempt       int
	Upstream      string
	OK            bool
	// Class says why the memory was not set aside.
	Class FailureClass
}

// Upstream is one registered server.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Incarnation tells runs under the same id apart.
	Incarnation int64
}

// UpstreamsChanged carries the whole list of registered servers.
type UpstreamsChanged struct{ Upstreams []Upstream }

// ServicesChanged carries the declared services.
type ServicesChanged struct{ Services []*route.Service }

// ReportReceived carries what another host told of its work.
type ReportReceived struct {
	Host   string
	Report WorkReport
}

// PeersChanged tells how many other hosts there are, and how long their news
// take to come here.
type PeersChanged struct {
	OtherHosts  int
	ReportDelay time.Duration
}

// Tick says that time has passed.
type Tick struct{}

func (Arrived) event()           {}
func (FirstPiece) event()        {}
func (Finished) event()          {}
func (AttemptFailed) event()     {}
func (CallerGone) event()        {}
func (ReservationResult) event() {}
func (UpstreamsChanged) event()  {}
func (ServicesChanged) event()   {}
func (ReportReceived) event()    {}
func (PeersChanged) event()      {}
func (Tick) event()              {}
