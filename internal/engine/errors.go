package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// These are the codes in an engine's error document
// {"error":{"code":…,"message":…}}. Only these codes prove anything about the
// work. Every other answer counts as ErrOutcomeUnknown.
const (
	// CodeNoMemory means that the engine has too little free KV memory.
	CodeNoMemory = "no_memory"
	// CodeQueueFull means that too much work is waiting in the engine.
	CodeQueueFull = "queue_full"
	// CodeLeaving means that the engine will stop soon and accepts no new work.
	CodeLeaving = "leaving"
	// CodeModelNotLoaded means that the engine does not have the model.
	CodeModelNotLoaded = "model_not_loaded"
	// CodeCancelled means that the work was cancelled before the request arrived.
	CodeCancelled = "cancelled"
	// CodeBadRequest means that the request is malformed.
	CodeBadRequest = "bad_request"
	// CodeDuplicate means that the engine already has the work. Its outcome is
	// open, so the code counts as ErrOutcomeUnknown.
	CodeDuplicate = "duplicate"
	// CodeNoWork means that the engine does not know the work.
	CodeNoWork = "no_work"
	// CodeFenced means that the fencing number of the order is out of date.
	CodeFenced = "fenced"
	// CodeFailed means that the engine ran the work and failed.
	CodeFailed = "failed"
)

// maxErrorBytes is the largest number of bytes read of an engine's error
// document.
const maxErrorBytes = 64 << 10

// ErrorBody is the error document that an engine sends when it refuses or fails a
// request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	// Code is one of the codes above; Message explains it.
	Code    string `json:"code"`
	Message string `json:"message"`
}

// clientError is an error of a Client. It matches one or more of this package's
// errors, and wraps the cause.
type clientError struct {
	kinds     []error
	operation string
	cause     error
}

// Error returns the operation that was tried, the first matching error, and the
// cause.
func (e clientError) Error() string {
	text := e.operation + ": " + e.kinds[0].Error()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap makes errors.Is match each kind and the cause.
func (e clientError) Unwrap() []error {
	if e.cause == nil {
		return e.kinds
	}
	return append(append([]error(nil), e.kinds...), e.cause)
}

// errorsOfCode returns the errors of this package that an engine's error code
// stands for.
func errorsOfCode(code string) []error {
	switch code {
	case CodeNoMemory:
		return []error{ErrNoMemory, ErrNotRun}
	case CodeQueueFull, CodeLeaving, CodeModelNotLoaded, CodeCancelled, CodeBadRequest:
		return []error{ErrNotRun}
	case CodeNoWork:
		return []error{ErrNoSuchWork}
	case CodeFenced:
		return []error{ErrFenced}
	case CodeFailed:
		return []error{ErrFailed}
	default:
		return []error{ErrOutcomeUnknown}
	}
}

// transportError converts an error of httpcall. Only ErrNotSent proves that the
// engine did not run the request.
func transportError(operation string, err error) error {
	if errors.Is(err, httpcall.ErrNotSent) {
		return clientError{kinds: []error{ErrNotRun}, operation: operation, cause: err}
	}
	return clientError{kinds: []error{ErrOutcomeUnknown}, operation: operation, cause: err}
}

// answerError converts an answer with a status other than success.
func answerError(operation string, resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return clientError{kinds: []error{ErrOutcomeUnknown}, operation: operation, cause: err}
	}
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil {
		return clientError{kinds: []error{ErrOutcomeUnknown}, operation: operation, cause: errors.Errorf("status %d without an error code", resp.StatusCode)}
	}
	cause := errors.Errorf("status %d, %s: %s", resp.StatusCode, body.Error.Code, body.Error.Message)
	return clientError{kinds: errorsOfCode(body.Error.Code), operation: operation, cause: cause}
}
