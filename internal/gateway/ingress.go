package gateway

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/backpressure"
	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/memory"
	"github.com/chestnutline/chestnutline/internal/route"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// defaultTimeLimit is assumed for callers that do not declare how long they
	// wait.
	defaultTimeLimit = 30 * time.Second
	// unconfiguredRetryAfter is the retry time that callers get while no
	// configuration is known. Reading the configuration takes one call to the
	// store.
	unconfiguredRetryAfter = 500 * time.Millisecond
)

// ingress is the HTTP handler that answers callers.
type ingress struct {
	clock      clock.Clock
	logger     log.Interface
	metrics    *telemetry.Registry
	storeView  *storeView
	control    *control
	httpClient *httpcall.Client
	notices    *noticeReader
	drain      *drainState
	// budget is the memory that callers may make this host hold.
	budget *memory.Budget
	// limits bound what callers that read slowly cost, openAnswer opens a share of the
	// host's memory for an answer.
	limits     backpressure.Limits
	openAnswer func(giveWay func()) holding

	// lastRequestNumber is the number of the last request that was accepted.
	lastRequestNumber atomic.Uint64
}

// inboundRequest is one caller's request with the route, the organisation and
// the limits that apply to it. The times are those of the process's clock.
type inboundRequest struct {
	request       platform.CallerRequest
	route         *route.Route
	configuration *activeConfiguration
	organisation  string
	priority      int
	// regions lists the regions in which the request may be served; nil stands for all.
	regions []string
	body    requestBody
	// holding accounts for the memory that the request takes until it ends.
	holding   *memory.Holding
	arrivedAt time.Duration
	deadline  time.Duration
	// forwarded is true if another host passed the request on to this one, after
	// priorRuns attempts that may have executed it.
	forwarded bool
	priorRuns int
}

// refusal is a response that this host sends itself, without asking an
// upstream. The code is sent in the body, the detail is only logged, and no
// retry time is sent if retryAfter is 0.
type refusal struct {
	status     int
	code       string
	detail     string
	retryAfter time.Duration
	// closes is true if the connection can't be used after the response, since the body of
	// the request was not read.
	closes bool
	// quarantinedPart is the part of the prompt for which the request is refused; it
	// is only logged.
	quarantinedPart string
	// shortage is what the request lacked, harm the cost that serving it would have had to
	// others, and harmLimit what is borne; see balance.Refuse. They are only logged.
	shortage        balance.Shortage
	harm, harmLimit float64
	// excluded counts the servers that might not get the request, by the reason; only logged.
	excluded map[balance.Exclusion]int
	// returned is set for a request that had come back as it was told; it is only logged.
	returned bool
}

// ServeHTTP answers one request. A host that is stopping also closes the
// connection after it.
func (g *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(w, r, func(*inboundRequest) {})
}

// serve answers one request. The function prepare completes what is known about it
// before anything is decided.
func (g *ingress) serve(w http.ResponseWriter, r *http.Request, prepare func(*inboundRequest)) {
	// The end of the answer is written after the return.
	defer func() { limitLastWrite(w, g.limits.Stall) }()
	arrived := g.clock.Now()
	conn := callerConnOf(r)
	inbound := &inboundRequest{arrivedAt: arrived, holding: g.openRequest(conn)}
	defer inbound.holding.Release()
	reason := g.admit(inbound, conn, r, prepare)
	if g.drain.stopping() || conn.interrupted() || reason != nil && reason.closes {
		w.Header().Set("Connection", "close")
	}
	if reason != nil {
		conn.limitUnread()
		g.refuse(w, inbound, *reason)
		return
	}
	x := &exchange{ingress: g, inbound: inbound, w: w, r: r, requestNumber: g.lastRequestNumber.Add(1), lastEventID: inbound.request.LastEventID, failureMemory: &heldMemory{}}
	x.contentName = sync.OnceValue(func() string { return inbound.contentName(r) })
	if g.control.contentsNeeded.Load() {
		// The control thread would hash the body otherwise.
		x.contentName()
	}
	x.run()
}

// admit checks a request, finds its route and reads its body. It returns a refusal if the
// request can't be accepted; the inboundRequest then holds what was found out until then.
func (g *ingress) admit(inbound *inboundRequest, conn *callerConn, r *http.Request, prepare func(*inboundRequest)) *refusal {
	request, findings := platform.DecodeCallerRequest(r)
	inbound.request = request
	prepare(inbound)
	if !conn.endHead() || inbound.holding.Grow(exchangeBytes+parsedCopies*parsedBytes(r)) != nil {
		return refusalWithoutMemory()
	}
	if inbound.forwarded && g.drain.stopping() {
		return refusalWhileStopping()
	}
	if len(findings) > 0 {
		return badRequest(findings)
	}
	inbound.configuration = g.storeView.configuration.Load()
	if inbound.configuration == nil || !g.storeView.loaded() {
		return &refusal{status: http.StatusServiceUnavailable, code: "no_configuration", retryAfter: unconfiguredRetryAfter}
	}
	if limit := inbound.configuration.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, code: "header_too_large"}
	}
	inbound.route = inbound.configuration.Find(request.Host, request.Path)
	if inbound.route == nil {
		return &refusal{status: http.StatusNotFound, code: "no_route"}
	}
	if reason := inbound.authorise(); reason != nil {
		return reason
	}
	inbound.deadline = inbound.arrivedAt + timeLimit(request, inbound.route)
	if reason := g.drain.checkRequest(inbound.route, request, inbound.arrivedAt); reason != nil {
		return reason
	}
	return inbound.readBody(r, conn, g.clock)
}

// badRequest returns the refusal that lists what is wrong with a request.
func badRequest(findings finding.List) *refusal {
	return &refusal{status: http.StatusBadRequest, code: "bad_request", detail: findings.Err().Error()}
}

// timeLimit returns the time within which the request must have ended: as long
// as the caller waits, and at most the timeout of the route.
func timeLimit(request platform.CallerRequest, r *route.Route) time.Duration {
	limit := defaultTimeLimit
	if request.TimeLimit > 0 {
		limit = request.TimeLimit
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return limit
}

// headerBytes returns the least size that a request's header can have had as it was
// sent: no space is needed after a colon.
func headerBytes(r *http.Request) int {
	const separators = len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

// authorise finds the organisation that holds the request's API key, and sets
// the priority of the request. It returns a refusal if the route requires a key
// and no organisation holds this one.
func (in *inboundRequest) authorise() *refusal {
	in.priority, in.regions = in.route.Priority, in.route.Regions
	if !in.configuration.RequiresKey() {
		return nil
	}
	organisation := in.configuration.OrganisationOfKey(in.request.APIKey)
	if organisation == nil {
		if in.route.Public {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, code: "unknown_key"}
	}
	in.organisation = organisation.Name
	in.regions = route.AllowedRegions(in.route, organisation)
	if organisation.Priority >= 0 {
		in.priority = organisation.Priority
	}
	return nil
}

// refuse sends, logs and counts a response of this host itself.
func (g *ingress) refuse(w http.ResponseWriter, inbound *inboundRequest, reason refusal) {
	fields := log.Fields{
		"request": inbound.request.ID, "code": reason.code, "status": reason.status,
		"retry_after_ms": reason.retryAfter.Milliseconds(), "held_ms": (g.clock.Now() - inbound.arrivedAt).Milliseconds(),
	}
	if reason.detail != "" {
		fields["detail"] = reason.detail
	}
	if reason.quarantinedPart != "" {
		fields["part"] = reason.quarantinedPart
	}
	if inbound.configuration != nil {
		fields["configuration"] = inbound.configuration.Version
		fields["configuration_age_ms"] = (g.clock.Now() - inbound.configuration.activeSince).Milliseconds()
	}
	if inbound.route != nil {
		fields["route"], fields["prompt"] = inbound.route.Name, inbound.request.PromptTokens
	}
	if reason.shortage != "" {
		fields["shortage"], fields["harm"], fields["harm_limit"] = string(reason.shortage), reason.harm, reason.harmLimit
	}
	if len(reason.excluded) > 0 {
		fields["excluded"] = excludedText(reason.excluded)
	}
	if reason.returned {
		fields["returned"] = true
	}
	logevent.RoutedRefused.Emit(g.logger, fields)
	g.metrics.Count("gateway_refused_total", 1, "code", reason.code)
	g.metrics.Count("gateway_ended_total", 1, "class", promptLengthClass(inbound.request.PromptTokens), "outcome", "refused")
	platform.SetLocalResponseHeader(w.Header(), inbound.request.ID, reason.retryAfter)
	if inbound.forwarded {
		w.Header().Set(headerRefused, reason.code)
	}
	w.WriteHeader(reason.status)
	if _, err := io.WriteString(w, `{"code":"`+reason.code+`"}`+"\n"); err != nil {
		logevent.CallerLeft.Emit(g.logger, log.Fields{"request": inbound.request.ID, "error": err.Error()})
	}
}

// excludedText lists the numbers of excluded servers for logs, as evacuated=26,leaving=1.
func excludedText(excluded map[balance.Exclusion]int) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, excluded[reason]))
	}
	return strings.Join(parts, ",")
}

// plannedAnswerTokens returns the length that is planned for the answer: twice the
// caller's estimate, and at most the declared maximum.
func plannedAnswerTokens(request platform.CallerRequest) int {
	if request.EstimatedTokens > 0 {
		return min(request.MaxTokens, 2*request.EstimatedTokens)
	}
	return request.MaxTokens
}

// arrivedEvent describes the request to the decision core.
func (x *exchange) arrivedEvent() balance.Arrived {
	request := x.inbound.request
	return balance.Arrived{
		RequestNumber: x.requestNumber, ID: request.ID, Route: x.inbound.route, Service: x.inbound.route.ChooseService(request.ID),
		Organisation: x.inbound.organisation, SharedParts: request.SharedParts, Content: x.contentName, PromptTokens: request.PromptTokens, AnswerTokens: plannedAnswerTokens(request),
		Priority: x.inbound.priority, Deadline: x.inbound.deadline, Regions: x.inbound.regions,
		Forwarded: x.inbound.forwarded, PriorRuns: x.inbound.priorRuns,
	}
}

// errCallerGone is the error of an attempt whose caller has closed the
// connection.
var errCallerGone = errors.New("caller left")
