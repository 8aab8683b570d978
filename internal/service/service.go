// Package service defines the interface to the plain services, and implements it
// over HTTP.
//
// An error states what is known about the call: ErrNotRun is returned only with
// proof, ErrFailed if the service reports that it ran the call and failed,
// ErrOutcomeUnknown otherwise. A call is sent at most once. Whether to repeat it
// is the decision of the code that calls this package.
package service

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/engine"
)

// These are the errors of a Client. They are matched with errors.Is.
var (
	// ErrNotRun means that the service did not run the call: no byte of it was
	// sent, or the service reported so.
	ErrNotRun = errors.New("service did not run the call")
	// ErrOutcomeUnknown means that the call was sent, and that it is not known
	// whether the service ran it.
	ErrOutcomeUnknown = errors.New("service's answer was lost")
	// ErrFailed means that the service ran the call and reported its failure.
	ErrFailed = errors.New("service failed the call")
)

// Call is one attempt at a request to a service.
type Call struct {
	// Work identifies the attempt.
	Work engine.WorkID
	// Kind is the name of the kind of request, such as "status".
	Kind string
	// IdempotencyKey is the key of the caller; empty if the caller sent none,
	// which only repeatable kinds allow.
	IdempotencyKey string
	// Deadline is the time after which the answer is useless; zero for none.
	Deadline    time.Time
	ContentType string
	Body        []byte
}

// Answer is the answer of a service. It is also returned together with ErrFailed.
type Answer struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
}

// Status is a service's report about itself.
type Status struct {
	// Leaving reports that the service will stop soon and accepts no new calls.
	Leaving bool `json:"leaving"`
	// Running is the number of calls that the service is running.
	Running int `json:"running"`
}

// Client sends calls to services. The address of a service is ip:port.
type Client interface {
	// Call sends one call and returns the answer.
	Call(ctx context.Context, address string, call Call) (Answer, error)
	// Status asks for the service's status, which also shows that the service is
	// alive.
	Status(ctx context.Context, address string) (Status, error)
}
