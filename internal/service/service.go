// Package service is the interface to the plain services and its HTTP adapter.
//
// An error tells what is known of the call: ErrNotRun only with proof, ErrFailed
// when the service says that it ran and failed, ErrUnknown otherwise. A call is
// sent at most once; repeating it is the caller's decision.
package service

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/engine"
)

// Errors of a Client, found by errors.Is.
var (
	// ErrNotRun says that the service did not run the call: no byte of it was
	// sent, or the service said so.
	ErrNotRun = errors.New("service did not run the call")
	// ErrOutcomeUnknown says that the call was sent and its fate is not known.
	ErrOutcomeUnknown = errors.New("service's answer was lost")
	// ErrFailed says that the service ran the call and reports its failure.
	ErrFailed = errors.New("service failed the call")
)

// Call is one request to a service.
type Call struct {
	// Work identifies this attempt.
	Work engine.WorkID
	// Kind is the kind of request, such as "status".
	Kind string
	// IdempotencyKey is the caller's key, empty for repeatable kinds.
	IdempotencyKey string
	// Deadline is when the answer is of no more use; zero for none.
	Deadline    time.Time
	ContentType string
	Body        []byte
}

// Answer is what a service returned. It comes with ErrFailed as well.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Status is a service's account of itself.
type Status struct {
	// Leaving says that the service is about to go and wants no new calls.
	Leaving bool `json:"leaving"`
	// Running is the number of calls being run.
	Running int `json:"running"`
}

// Client speaks to services; address is ip:port.
type Client interface {
	// Call runs one request.
	Call(ctx context.Context, address string, call Call) (Answer, error)
	// Status asks whether the service lives and stays.
	Status(ctx context.Context, address string) (Status, error)
}
