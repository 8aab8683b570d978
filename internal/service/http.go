package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// Paths and headers of the protocol towards services.
const (
	// PathCallPrefix is followed by the kind.
	PathCallPrefix = "/v1/"
	PathStatus     = "/status"

	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline"
	// HeaderOutcome is set by the service on an answer that is no success.
	HeaderOutcome = "X-Outcome"

	OutcomeNotRun = "not_run"
	OutcomeFailed = "failed"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 8 << 20

// HTTPClient is the Client that speaks the protocol of docs/ENGINES.md.
type HTTPClient struct {
	calls *httpcall.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns an HTTPClient with connections of its own.
func NewHTTPClient(config httpcall.Config) *HTTPClient {
	return &HTTPClient{calls: httpcall.New(config)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.calls.Close() }

// RemovePool drops the connections to a service that is gone.
func (c *HTTPClient) RemovePool(address string) { c.calls.RemovePool(address) }

// Call implements Client.
func (c *HTTPClient) Call(ctx context.Context, address string, call Call) (Answer, error) {
	what := "call " + call.Kind + " at " + address
	resp, err := c.calls.Do(ctx, httpcall.Call{
		Method: http.MethodPost, Address: address, Path: PathCallPrefix + url.PathEscape(call.Kind),
		Header: call.header(), Body: bytes.NewReader(call.Body), BodyLength: int64(len(call.Body)),
	})
	if errors.Is(err, httpcall.ErrNotSent) {
		return Answer{}, fault{kind: ErrNotRun, text: what, cause: err}
	}
	if err != nil {
		return Answer{}, fault{kind: ErrOutcomeUnknown, text: what, cause: err}
	}
	defer resp.Body.Close()
	return readAnswer(what, resp)
}

func (c Call) header() http.Header {
	h := http.Header{}
	h.Set(HeaderRequestID, c.Work.Request)
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(c.Work.Attempt), 10))
	if c.ContentType != "" {
		h.Set("Content-Type", c.ContentType)
	}
	if c.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	if !c.Deadline.IsZero() {
		h.Set(HeaderDeadline, c.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return h
}

func readAnswer(what string, resp *http.Response) (Answer, error) {
	outcome := resp.Header.Get(HeaderOutcome)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	a := Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	status := errors.Errorf("status %d", resp.StatusCode)
	switch {
	case outcome == OutcomeNotRun:
		return Answer{}, fault{kind: ErrNotRun, text: what, cause: status}
	case err != nil:
		return Answer{}, fault{kind: ErrOutcomeUnknown, text: what, cause: err}
	case outcome == OutcomeFailed:
		return a, fault{kind: ErrFailed, text: what, cause: status}
	case resp.StatusCode/100 == 2:
		return a, nil
	default:
		return Answer{}, fault{kind: ErrOutcomeUnknown, text: what, cause: status}
	}
}

// Status implements Client.
func (c *HTTPClient) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	resp, err := c.calls.Do(ctx, httpcall.Call{Method: http.MethodGet, Address: address, Path: PathStatus})
	if err != nil {
		return s, errors.Wrap(err, "ask service for its status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("ask service for its status: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&s)
	return s, errors.Wrap(err, "read service's status")
}

// fault joins an error of this package with its cause.
type fault struct {
	kind  error
	text  string
	cause error
}

// Error tells what was tried and what came back.
func (f fault) Error() string {
	return f.text + ": " + f.kind.Error() + ": " + f.cause.Error()
}

// Unwrap lets errors.Is find the kind and the cause.
func (f fault) Unwrap() []error { return []error{f.kind, f.cause} }
