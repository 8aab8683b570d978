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

// These are the paths and headers of the protocol between hosts and services.
const (
	// PathCallPrefix is the path of a call, without the name of the kind at its
	// end.
	PathCallPrefix = "/v1/"
	PathStatus     = "/status"

	// HeaderRequestID and HeaderAttempt identify the attempt.
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline carries Call.Deadline in UTC, in the format RFC3339Nano of
	// package time.
	HeaderDeadline = "X-Deadline"
	// HeaderOutcome states what became of the call. The service sets it on
	// answers with a status other than success.
	HeaderOutcome = "X-Outcome"

	// OutcomeNotRun and OutcomeFailed are the values of HeaderOutcome.
	OutcomeNotRun = "not_run"
	OutcomeFailed = "failed"
)

// maxAnswerBytes is the largest accepted size of an answer.
const maxAnswerBytes = 8 << 20

// HTTPClient is a Client that uses the HTTP protocol described in
// docs/ENGINES.md.
type HTTPClient struct {
	httpClient *httpcall.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns an HTTPClient with its own connection pools.
func NewHTTPClient(config httpcall.Config) *HTTPClient {
	return &HTTPClient{httpClient: httpcall.New(config)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.httpClient.Close() }

// RemovePool closes the connections to a service that no longer exists and
// removes their pool.
func (c *HTTPClient) RemovePool(address string) { c.httpClient.RemovePool(address) }

// Call implements Client.
func (c *HTTPClient) Call(ctx context.Context, address string, call Call) (Answer, error) {
	operation := "call " + call.Kind + " at " + address
	resp, err := c.httpClient.Do(ctx, httpcall.Call{
		Method: http.MethodPost, Address: address, Path: PathCallPrefix + url.PathEscape(call.Kind),
		Header: call.header(), Body: bytes.NewReader(call.Body), BodyLength: int64(len(call.Body)),
	})
	if errors.Is(err, httpcall.ErrNotSent) {
		return Answer{}, callError{kind: ErrNotRun, operation: operation, cause: err}
	}
	if err != nil {
		return Answer{}, callError{kind: ErrOutcomeUnknown, operation: operation, cause: err}
	}
	defer resp.Body.Close()
	return readAnswer(operation, resp)
}

// header returns the headers of a call. Headers with an empty value are left out.
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

// readAnswer reads the answer to a call and converts it to what it proves. A
// status other than 2xx without HeaderOutcome proves nothing.
func readAnswer(operation string, resp *http.Response) (Answer, error) {
	outcome := resp.Header.Get(HeaderOutcome)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	a := Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	status := errors.Errorf("status %d", resp.StatusCode)
	switch {
	case outcome == OutcomeNotRun:
		return Answer{}, callError{kind: ErrNotRun, operation: operation, cause: status}
	case err != nil:
		return Answer{}, callError{kind: ErrOutcomeUnknown, operation: operation, cause: err}
	case outcome == OutcomeFailed:
		return a, callError{kind: ErrFailed, operation: operation, cause: status}
	case resp.StatusCode/100 == 2:
		return a, nil
	default:
		return Answer{}, callError{kind: ErrOutcomeUnknown, operation: operation, cause: status}
	}
}

// Status implements Client.
func (c *HTTPClient) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	resp, err := c.httpClient.Do(ctx, httpcall.Call{Method: http.MethodGet, Address: address, Path: PathStatus})
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

// callError is an error of a call. It matches one of this package's errors and
// wraps the cause.
type callError struct {
	kind      error
	operation string
	cause     error
}

// Error returns the operation that was tried, the matching error, and the cause.
func (e callError) Error() string {
	return e.operation + ": " + e.kind.Error() + ": " + e.cause.Error()
}

// Unwrap makes errors.Is match the kind and the cause.
func (e callError) Unwrap() []error { return []error{e.kind, e.cause} }
