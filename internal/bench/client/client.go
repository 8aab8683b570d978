// Package client sends planned requests to a router over HTTP, as a caller would,
// and checks the responses.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

const (
	// maxIdleConnsPerHost is the number of idle connections kept open to each
	// host.
	maxIdleConnsPerHost = 1024
	// ioBufferBytes is the size of a connection's read and write buffers. It is
	// large because prompts are megabytes long.
	ioBufferBytes = 64 << 10
	// dialTimeout limits the time to connect to a host.
	dialTimeout = 2 * time.Second
	// lateResponseWait is how long the client waits for a response after the
	// request's time limit has passed; a router that has not answered by then
	// counts as late.
	lateResponseWait = 10 * time.Second
	// maxProblemBytes limits how much of a problem document is read.
	maxProblemBytes = 64 << 10
)

// Client sends requests to hosts and classifies their responses. It is safe for
// concurrent use.
type Client struct {
	http      *http.Client
	model     string
	prompts   *workload.TextPool
	tokenText answer.TokenFunc
}

// New returns a client for callers of one model. Prompts are taken from pool, and
// token returns the expected text of each token of an answer.
func New(model string, pool *workload.TextPool, token answer.TokenFunc) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
		ReadBufferSize:      ioBufferBytes,
		WriteBufferSize:     ioBufferBytes,
	}
	return &Client{http: &http.Client{Transport: transport}, model: model, prompts: pool, tokenText: token}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Attempt describes one attempt to send a request to a host.
type Attempt struct {
	Request *workload.Request
	// IsRepeat reports whether this is the second sending of an action, which
	// tests that the action is not executed twice.
	IsRepeat bool
	// Address is the address on which the host serves callers, as ip:port.
	Address string
	// Due is the planned arrival time of the request.
	Due time.Time
}

// ErrNoConnection reports that no connection to the host could be made and that
// nothing was sent.
var ErrNoConnection = errors.New("no connection to the host")

// Send sends a request and waits for the end of the response, at most until
// lateResponseWait after the request's time limit. The error is ErrNoConnection if
// the host can't be reached, so that a load balancer can choose another host. Other
// failures of the attempt are in the outcome, apart from a request that can't be
// built, which is an error too.
func (c *Client) Send(ctx context.Context, a Attempt) (Outcome, error) {
	r := a.Request
	outcome := Outcome{Request: r, IsRepeat: a.IsRepeat, Address: a.Address, Sent: time.Since(a.Due)}
	ctx, cancel := context.WithTimeout(ctx, r.TimeLimit+lateResponseWait)
	defer cancel()
	httpRequest, checker, err := c.buildRequest(ctx, a)
	if err != nil {
		return outcome, errors.Wrapf(err, "build request %d", r.Index)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		outcome.End = time.Since(a.Due)
		outcome.Result, outcome.Detail = Broken, err.Error()
		if isDialError(err) {
			return outcome, ErrNoConnection
		}
		return outcome, nil
	}
	defer response.Body.Close()
	outcome.Status = response.StatusCode
	outcome.RequestID = response.Header.Get("X-Request-Id")
	outcome.HasRetryAfter = response.Header.Get("Retry-After") != ""
	switch {
	case response.StatusCode != http.StatusOK:
		outcome.readProblem(response.Body)
	case r.Class == workload.ClassService:
		outcome.readServiceResponse(response.Body)
	default:
		outcome.readStream(response.Body, checker, a.Due)
	}
	outcome.End = time.Since(a.Due)
	return outcome, nil
}

// isDialError reports whether an HTTP call failed before a connection was made.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// buildRequest returns the HTTP request and, for prompts, a checker of the answer;
// the checker is nil for requests to plain services.
func (c *Client) buildRequest(ctx context.Context, a Attempt) (*http.Request, *answer.Checker, error) {
	if a.Request.Class == workload.ClassService {
		httpRequest, err := c.buildServiceRequest(ctx, a)
		return httpRequest, nil, err
	}
	prompt := c.prompts.Prompt(a.Request)
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"`, c.model, a.Request.AnswerTokens)
	const tail = `"}]}`
	body := func() io.ReadCloser {
		return io.NopCloser(io.MultiReader(bytes.NewReader([]byte(head)), prompt.Reader(), bytes.NewReader([]byte(tail))))
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+"/v1/chat/completions", body())
	if err != nil {
		return nil, nil, err
	}
	httpRequest.ContentLength = int64(len(head) + prompt.Len() + len(tail))
	setHeaders(httpRequest, a.Request)
	return httpRequest, answer.NewChecker(c.tokenText, prompt.Hash()), nil
}

// serviceBody is the JSON body of requests to plain services.
type serviceBody struct {
	Reference string `json:"reference"`
}

// buildServiceRequest returns the HTTP request for a call of a plain service.
func (c *Client) buildServiceRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	body, err := json.Marshal(serviceBody{Reference: strconv.FormatUint(a.Request.TextSeed, 16)})
	if err != nil {
		return nil, err
	}
	path := "/v1/services/" + a.Request.Service + "/" + a.Request.Kind
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't resend the request on its own; a
	// resend would hide who sent an action twice.
	httpRequest.GetBody = nil
	setHeaders(httpRequest, a.Request)
	return httpRequest, nil
}

// setHeaders sets the headers that describe a request to the router.
func setHeaders(httpRequest *http.Request, r *workload.Request) {
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("X-Organisation", r.Organisation)
	httpRequest.Header.Set("X-Request-Kind", r.Kind)
	httpRequest.Header.Set("X-Time-Limit-Ms", strconv.FormatInt(r.TimeLimit.Milliseconds(), 10))
	if r.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
}

// problemDocument holds the fields that the client reads from a problem document
// (RFC 9457).
type problemDocument struct {
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id"`
}

// readProblem records the problem document that came in place of an answer.
func (o *Outcome) readProblem(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	if err != nil {
		o.Result, o.Detail = Broken, err.Error()
		return
	}
	o.parseProblem(data)
}

// parseProblem sets the outcome's result and details from a problem document. Data
// that is not such a document counts as a broken response.
func (o *Outcome) parseProblem(data []byte) {
	var p problemDocument
	if err := json.Unmarshal(data, &p); err != nil || p.Outcome == "" {
		o.Result, o.Detail = Broken, "the response is not a problem document"
		return
	}
	o.Code, o.ProblemOutcome, o.Detail = p.Code, p.Outcome, p.Detail
	if o.RequestID == "" {
		o.RequestID = p.RequestID
	}
	o.Result = Failed
	if p.Outcome == ProblemNotRun && o.Status != http.StatusOK {
		o.Result = Refused
	}
}

// readServiceResponse reads the response of a plain service to its end and
// discards it.
func (o *Outcome) readServiceResponse(body io.Reader) {
	o.Result = Delivered
	if _, err := io.Copy(io.Discard, body); err != nil {
		o.Result, o.Detail = Broken, err.Error()
	}
}
