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

// typePrefix is the start of the type of every problem document; the code follows
// it.
const typePrefix = "urn:chestnutline:problem:"

// These are the codes of problems that are found before a request reaches the
// dispatch core.
const (
	codeBadRequest      dispatch.Code = "bad_request"
	codeNotKnown        dispatch.Code = "not_known"
	codeBodyTooLarge    dispatch.Code = "body_too_large"
	codeNotReady        dispatch.Code = "not_ready"
	codeBodyInterrupted dispatch.Code = "body_interrupted"
)

// Problem is an RFC 9457 problem document. Code and the members after it are
// extensions of the RFC's members.
type Problem struct {
	// Type is typePrefix with the code after it.
	Type string `json:"type"`
	// Title describes the code, Detail this case of it.
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code identifies the kind of problem; Outcome states whether the request
	// was run, as far as that is known.
	Code      dispatch.Code    `json:"code"`
	Outcome   dispatch.Outcome `json:"outcome"`
	RequestID string           `json:"request_id,omitempty"`
	// Findings lists what is wrong with the request, each with its place.
	Findings finding.List `json:"findings,omitempty"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// statusAndTitle contains the HTTP status and the title of a code.
type statusAndTitle struct {
	status int
	title  string
}

// problemKinds maps every known code to its status and title.
var problemKinds = map[dispatch.Code]statusAndTitle{
	codeBadRequest:                     {http.StatusBadRequest, "The request is not valid."},
	codeNotKnown:                       {http.StatusNotFound, "The request names something that does not exist."},
	codeBodyTooLarge:                   {http.StatusRequestEntityTooLarge, "The body is too large."},
	codeNotReady:                       {http.StatusServiceUnavailable, "No configuration is known yet."},
	codeBodyInterrupted:                {http.StatusBadRequest, "The body could not be read."},
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

// newProblem returns the problem document for a code.
func newProblem(id string, code dispatch.Code, outcome dispatch.Outcome) Problem {
	s, known := problemKinds[code]
	if !known {
		s = statusAndTitle{http.StatusConflict, "The request was refused."}
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

// newResultProblem returns the problem document for the result of a request that
// failed or was refused.
func newResultProblem(id string, r traffic.Result) Problem {
	p := newProblem(id, r.Code, r.Outcome)
	p.Detail = r.Detail
	p.RetryAfter = r.RetryAfter
	return p
}

// write writes the document as the answer, with its status.
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
