// Package driver sends the requests of a plan at their intended times, whether
// earlier ones have been answered or not, and collects what their callers saw.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// Sender sends one request; client.Client is one.
type Sender interface {
	// Send returns client.ErrNoConnection when nothing was sent because the
	// host could not be reached.
	Send(ctx context.Context, s client.Sending) (client.Outcome, error)
}

// Balancer is the platform's balancer in front of the hosts.
type Balancer interface {
	// Hosts lists the callers' addresses of a data centre that are in
	// service, in a fixed order.
	Hosts(dataCentre int) []string
}

// Config configures a driver.
type Config struct {
	Sender   Sender
	Balancer Balancer
	// Progress is told how far the run is, about once a second; it may be nil.
	Progress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	// Elapsed is the time since the plan's start.
	Elapsed time.Duration
	// Sent, Ended and Planned count requests.
	Sent, Ended, Planned int
}

// progressInterval is the time between reports.
const progressInterval = time.Second

// run is one execution of a plan.
type run struct {
	config  Config
	start   time.Time
	planned int
	sent    atomic.Int64
	ended   atomic.Int64
	flights sync.WaitGroup

	mu       sync.Mutex
	outcomes []client.Outcome
}

// Run sends a plan ordered by arrival and returns when every request has
// ended; requests not yet sent when ctx ends are left out.
func Run(ctx context.Context, config Config, plan []*workload.Request) []client.Outcome {
	r := &run{config: config, start: time.Now(), planned: len(plan)}
	ended := make(chan struct{})
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		r.report(ended)
	}()
	for _, request := range plan {
		due := r.start.Add(request.ArrivalOffset)
		if !sleepUntil(ctx, due) {
			break
		}
		r.launch(ctx, request, due)
	}
	r.flights.Wait()
	close(ended)
	<-reported
	return r.outcomes
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// launch sends a request, and its repeat beside it.
func (r *run) launch(ctx context.Context, request *workload.Request, due time.Time) {
	r.sent.Add(1)
	r.flights.Add(1)
	go func() {
		defer r.flights.Done()
		defer r.ended.Add(1)
		r.send(ctx, request, due, false, request.DataCentre, request.Host)
	}()
	if request.Repeat == nil {
		return
	}
	r.flights.Add(1)
	go func() {
		defer r.flights.Done()
		again := due.Add(request.Repeat.After)
		if sleepUntil(ctx, again) {
			r.send(ctx, request, again, true, request.Repeat.DataCentre, request.Repeat.Host)
		}
	}()
}

// send tries the hosts of a data centre in turn, as a balancer does, until
// one can be connected to.
func (r *run) send(ctx context.Context, request *workload.Request, due time.Time, again bool, dataCentre, host int) {
	outcome := client.Outcome{
		Request: request, Again: again, Result: client.Broken,
		Sent: time.Since(due), Detail: "no host of the data centre is in service",
	}
	hosts := r.config.Balancer.Hosts(dataCentre)
	for i := range hosts {
		var err error
		outcome, err = r.config.Sender.Send(ctx, client.Sending{
			Request: request,
			Again:   again,
			Address: hosts[(host+i)%len(hosts)],
			Due:     due,
		})
		if !errors.Is(err, client.ErrNoConnection) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

func (r *run) report(ended <-chan struct{}) {
	if r.config.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			r.config.Progress(Progress{
				Elapsed: time.Since(r.start),
				Sent:    int(r.sent.Load()),
				Ended:   int(r.ended.Load()),
				Planned: r.planned,
			})
		}
	}
}
