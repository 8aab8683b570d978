package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// typePrefix begins the type of every problem document; the code follows.
const typePrefix = "urn:chestnutline:problem:"

// Codes of problems found before a request reaches the dispatch core.
const (
	codeBadRequest  dispatch.Code = "bad_request"
	codeNotKnown    dispatch.Code = "not_known"
	codeTooBig      dispatch.Code = "body_too_large"
	codeNotReady    dispatch.Code = "not_ready"
	codeInterrupted dispatch.Code = "body_interrupted"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Detail    string           `json:"detail,omitempty"`
	Code      dispatch.Code    `json:"code"`
	Outcome   dispatch.Outcome `json:"outcome"`
	RequestID string           `json:"request_id,omitempty"`
	Findings  finding.List     `json:"findings,omitempty"`
	// RetryAfter is sent as a header, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// shape is the status and title of a code.
type shape struct {
	status int
	title  string
}

var shapes = map[dispatch.Code]shape{
	codeBadRequest:                     {http.StatusBadRequest, "The request is not valid."},
	codeNotKnown:                       {http.StatusNotFound, "The request names something that does not exist."},
	codeTooBig:                         {http.StatusRequestEntityTooLarge, "The body is too large."},
	codeNotReady:                       {http.StatusServiceUnavailable, "No configuration is known yet."},
	codeInterrupted:                    {http.StatusBadRequest, "The body could not be read."},
	dispatch.CodeNoUpstream:            {http.StatusServiceUnavailable, "No upstream can take the request."},
	dispatch.CodeOverloaded:            {http.StatusTooManyRequests, "The request could not finish within its time limit."},
	dispatch.CodeOrganisationOverLimit: {http.StatusTooManyRequests, "The organisation has too many requests in flight."},
	dispatch.CodeLimitTooTight: {
		http.StatusUnprocessableEntity, "The time limit is shorter than the request takes alone.",
	},
	dispatch.CodePromptTooLarge: {http.StatusUnprocessableEntity, "The prompt needs more memory than the engines have."},
	dispatch.CodeDraining:       {http.StatusServiceUnavailable, "This host is stopping."},
	dispatch.CodeTimeLimit:      {http.StatusGatewayTimeout, "The time limit has passed."},
	dispatch.CodeGivenUp: {
		http.StatusServiceUnavailable, "The admitted request could not finish within its time limit any more.",
	},
	dispatch.CodeUpstreamFailed: {http.StatusBadGateway, "The upstream failed."},
	dispatch.CodeCallerGone:     {statusClientClosed, "The caller hung up."},
	dispatch.CodeClaimRefused:   {http.StatusConflict, "Another request holds the idempotency key."},
	traffic.CodeInProgress:      {http.StatusConflict, "Another request with the idempotency key is in progress."},
	traffic.CodeOutcomeUnknown:  {http.StatusConflict, "What became of an earlier request with the idempotency key is not known."},
	traffic.CodeKeyReused:       {http.StatusUnprocessableEntity, "The idempotency key was used with another body."},
	traffic.CodeKeyExpired:      {http.StatusUnprocessableEntity, "The idempotency key is older than keys are remembered."},
	traffic.CodeKeyRefused:      {http.StatusUnprocessableEntity, "The idempotency key is not accepted."},
	traffic.CodeClaimsUnavailable: {
		http.StatusServiceUnavailable, "Actions that may not be repeated can't be claimed now.",
	},
}

// problem makes a document for a code.
func problem(id string, code dispatch.Code, outcome dispatch.Outcome) Problem {
	s, known := shapes[code]
	if !known {
		s = shape{http.StatusConflict, "The request was refused."}
	}
	return Problem{
		Type:      typePrefix + string(code),
		Title:     s.title,
		Status:    s.status,
		Code:      code,
		Outcome:   outcome,
		RequestID: id,
	}
}

// resultProblem makes a document for a request that got no answer.
func resultProblem(id string, r traffic.Result) Problem {
	p := problem(id, r.Code, r.Outcome)
	p.Detail = r.Detail
	p.RetryAfter = r.RetryAfter
	return p
}

// write sends the document as the whole answer.
func (p Problem) write(c echo.Context) error {
	h := c.Response().Header()
	h.Set(echo.HeaderContentType, "application/problem+json")
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.Response().WriteHeader(p.Status)
	return json.NewEncoder(c.Response()).Encode(p)
}
