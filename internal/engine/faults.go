package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// Codes of an engine's error document {"error":{"code":…,"message":…}}. Only
// these codes prove anything; every other answer counts as ErrUnknown.
const (
	CodeNoMemory       = "no_memory"
	CodeQueueFull      = "queue_full"
	CodeLeaving        = "leaving"
	CodeModelNotLoaded = "model_not_loaded"
	CodeCancelled      = "cancelled"
	CodeBadRequest     = "bad_request"
	CodeDuplicate      = "duplicate"
	CodeNoWork         = "no_work"
	CodeFenced         = "fenced"
	CodeFailed         = "failed"
)

// maxErrorBytes bounds the error document read from an engine.
const maxErrorBytes = 64 << 10

// ErrorBody is the document of an engine's refusal or failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// fault joins an error of this package with its cause.
type fault struct {
	kinds []error
	text  string
	cause error
}

// Error tells what was tried and what came back.
func (f fault) Error() string {
	text := f.text + ": " + f.kinds[0].Error()
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap lets errors.Is find each kind and the cause.
func (f fault) Unwrap() []error {
	if f.cause == nil {
		return f.kinds
	}
	return append(append([]error(nil), f.kinds...), f.cause)
}

func kindsOf(code string) []error {
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

// transportFault maps an error of httpcall.
func transportFault(what string, err error) error {
	if errors.Is(err, httpcall.ErrNotSent) {
		return fault{kinds: []error{ErrNotRun}, text: what, cause: err}
	}
	return fault{kinds: []error{ErrOutcomeUnknown}, text: what, cause: err}
}

// answerFault maps an answer that is no success.
func answerFault(what string, resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return fault{kinds: []error{ErrOutcomeUnknown}, text: what, cause: err}
	}
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil {
		return fault{kinds: []error{ErrOutcomeUnknown}, text: what, cause: errors.Errorf("status %d without an error code", resp.StatusCode)}
	}
	cause := errors.Errorf("status %d, %s: %s", resp.StatusCode, body.Error.Code, body.Error.Message)
	return fault{kinds: kindsOf(body.Error.Code), text: what, cause: cause}
}
