package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/route"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// defaultPatience is assumed of callers that do not say how long they wait.
	defaultPatience = 30 * time.Second
	// unknownRetryAfter is told while no configuration is known yet, which
	// takes one call to the store.
	unknownRetryAfter = 500 * time.Millisecond
	// drainRetryAfter is told by a host that is stopping; another one takes a
	// new connection at once.
	drainRetryAfter = 50 * time.Millisecond
)

// ingress answers callers.
type ingress struct {
	clock   clock.Clock
	logger  log.Interface
	metrics *telemetry.Registry
	beliefs *beliefs
	control *control
	calls   *httpcall.Client
	drain   *drain

	numbers atomic.Uint64
}

// inbound is one caller's request.
type inbound struct {
	ask          platform.CallerRequest
	route        *route.Route
	table        *inForce
	organisation string
	priority     int
	body         []byte
	arrived      time.Duration
	deadline     time.Duration
}

// problem is an answer of the system's own.
type problem struct {
	status     int
	code       string
	detail     string
	retryAfter time.Duration
}

// ServeHTTP answers one request.
func (g *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.clock.Now()
	in, p := g.admit(r, arrived)
	if g.drain.stopping() {
		w.Header().Set("Connection", "close")
	}
	if p != nil {
		g.refuse(w, in, *p)
		return
	}
	x := &exchange{ingress: g, in: in, w: w, r: r, number: g.numbers.Add(1), lastEvent: in.ask.LastEventID}
	x.run()
}

// admit checks a request and finds its route, or the problem with it.
func (g *ingress) admit(r *http.Request, arrived time.Duration) (*inbound, *problem) {
	ask, findings := platform.DecodeCallerRequest(r)
	in := &inbound{ask: ask, arrived: arrived}
	if len(findings) > 0 {
		return in, badRequest(findings)
	}
	in.table = g.beliefs.table.Load()
	if in.table == nil || !g.beliefs.known() {
		return in, &problem{status: http.StatusServiceUnavailable, code: "no_configuration", retryAfter: unknownRetryAfter}
	}
	if limit := in.table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return in, &problem{status: http.StatusRequestHeaderFieldsTooLarge, code: "header_too_large"}
	}
	in.route = in.table.Find(ask.Host, ask.Path)
	if in.route == nil {
		return in, &problem{status: http.StatusNotFound, code: "no_route"}
	}
	if p := in.authorise(); p != nil {
		return in, p
	}
	in.deadline = arrived + patience(ask, in.route)
	if p := g.drain.refusal(in.route, ask, arrived); p != nil {
		return in, p
	}
	return in, in.readBody(r)
}

func badRequest(findings finding.List) *problem {
	return &problem{status: http.StatusBadRequest, code: "bad_request", detail: findings.Err().Error()}
}

// patience is the time until the request must have ended.
func patience(ask platform.CallerRequest, r *route.Route) time.Duration {
	limit := defaultPatience
	if ask.TimeLimit > 0 {
		limit = ask.TimeLimit
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return limit
}

// headerBytes is the size of a request's head as sent, nearly.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

// authorise finds the organisation that holds the request's key.
func (in *inbound) authorise() *problem {
	in.priority = in.route.Priority
	if !in.table.RequiresKey() {
		return nil
	}
	holder := in.table.OrganisationOfKey(in.ask.APIKey)
	if holder == nil {
		if in.route.Public {
			return nil
		}
		return &problem{status: http.StatusUnauthorized, code: "unknown_key"}
	}
	in.organisation = holder.Name
	if holder.Priority >= 0 {
		in.priority = holder.Priority
	}
	return nil
}

// readBody reads the whole body before anything is decided, so that a request
// is never passed on in part and a caller that leaves is noticed.
func (in *inbound) readBody(r *http.Request) *problem {
	limit := in.table.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	tooLarge := &problem{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	if r.ContentLength > limit {
		return tooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &problem{status: http.StatusBadRequest, code: "body_unreadable", detail: err.Error()}
	}
	if int64(len(body)) > limit {
		return tooLarge
	}
	in.body = body
	return nil
}

// refuse gives an answer of the system's own.
func (g *ingress) refuse(w http.ResponseWriter, in *inbound, p problem) {
	fields := log.Fields{
		"request": in.ask.ID, "code": p.code, "status": p.status,
		"retry_after_ms": p.retryAfter.Milliseconds(), "held_ms": (g.clock.Now() - in.arrived).Milliseconds(),
	}
	if p.detail != "" {
		fields["detail"] = p.detail
	}
	if in.table != nil {
		fields["configuration"] = in.table.Version
		fields["configuration_age_ms"] = (g.clock.Now() - in.table.since).Milliseconds()
	}
	if in.route != nil {
		fields["route"] = in.route.Name
	}
	logevent.RoutedRefused.Emit(g.logger, fields)
	g.metrics.Count("gateway_refused_total", 1, "code", p.code)
	platform.SetLocalResponseHeader(w.Header(), in.ask.ID, p.retryAfter)
	w.WriteHeader(p.status)
	if _, err := io.WriteString(w, `{"code":"`+p.code+`"}`+"\n"); err != nil {
		logevent.CallerLeft.Emit(g.logger, log.Fields{"request": in.ask.ID, "error": err.Error()})
	}
}

// arrivedEvent describes the request to the decision core.
func (x *exchange) arrivedEvent() balance.Arrived {
	a := x.in.ask
	answer := a.MaxTokens
	if a.EstimatedTokens > 0 {
		answer = min(answer, 2*a.EstimatedTokens)
	}
	return balance.Arrived{
		RequestNumber: x.number, ID: a.ID, Route: x.in.route, Service: x.in.route.ChooseService(a.ID),
		PromptTokens: a.PromptTokens, AnswerTokens: answer,
		Priority: x.in.priority, Deadline: x.in.deadline,
	}
}

var errCallerGone = errors.New("caller left")
