// Package driver sends the requests of a plan at their intended times, whether
// earlier ones have been answered or not, and collects their outcomes as the
// callers saw them.
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

// Sender sends a request to a host and returns its outcome. client.Client
// implements it.
type Sender interface {
	// Send returns client.ErrNoConnection if nothing was sent because the host
	// could not be reached.
	Send(ctx context.Context, attempt client.Attempt) (client.Outcome, error)
}

// Balancer represents the platform's load balancer in front of the hosts.
type Balancer interface {
	// Hosts returns the addresses on which the hosts of a data centre serve
	// callers, in a fixed order. It leaves out hosts that are not in service.
	Hosts(dataCentre int) []string
}

// Config holds what a driver needs to carry out a plan.
type Config struct {
	Sender   Sender
	Balancer Balancer
	// Progress, if not nil, is called about once a second with the state of the
	// run.
	Progress func(Progress)
}

// Progress reports how much of a plan has been carried out.
type Progress struct {
	// Elapsed is the time since the plan's start.
	Elapsed time.Duration
	// Sent, Ended and Planned are numbers of requests; the repeats of actions
	// are not counted.
	Sent, Ended, Planned int
}

// progressInterval is the time between two progress reports.
const progressInterval = time.Second

// planExecution holds the state of one execution of a plan.
type planExecution struct {
	config       Config
	startedAt    time.Time
	plannedCount int
	sentCount    atomic.Int64
	endedCount   atomic.Int64
	// inFlight waits for all requests and repeats that were launched.
	inFlight sync.WaitGroup

	mu       sync.Mutex
	outcomes []client.Outcome
}

// Run sends the requests of a plan, which is ordered by arrival time, and returns
// the outcomes once every request sent has ended. Requests that have not been sent
// when ctx ends are left out.
func Run(ctx context.Context, config Config, plan []*workload.Request) []client.Outcome {
	r := &planExecution{config: config, startedAt: time.Now(), plannedCount: len(plan)}
	allEnded := make(chan struct{})
	reporterDone := make(chan struct{})
	go func() {
		defer close(reporterDone)
		r.reportProgress(allEnded)
	}()
	for _, request := range plan {
		due := r.startedAt.Add(request.ArrivalOffset)
		if !sleepUntil(ctx, due) {
			break
		}
		r.launch(ctx, request, due)
	}
	r.inFlight.Wait()
	close(allEnded)
	<-reporterDone
	return r.outcomes
}

// sleepUntil waits until the time due and returns false if ctx ended first.
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

// launch starts a request and, if the plan has one, its repeat, each in a
// goroutine of its own.
func (r *planExecution) launch(ctx context.Context, request *workload.Request, due time.Time) {
	r.sentCount.Add(1)
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		defer r.endedCount.Add(1)
		r.send(ctx, request, due, false, request.DataCentre, request.Host)
	}()
	if request.Repeat == nil {
		return
	}
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		repeatDue := due.Add(request.Repeat.After)
		if sleepUntil(ctx, repeatDue) {
			r.send(ctx, request, repeatDue, true, request.Repeat.DataCentre, request.Repeat.Host)
		}
	}()
}

// send tries the hosts of a data centre in turn, as a load balancer does, until it
// can connect to one of them, and records the outcome. It begins with the host at
// the index host, modulo the number of hosts in service.
func (r *planExecution) send(ctx context.Context, request *workload.Request, due time.Time, isRepeat bool, dataCentre, host int) {
	outcome := client.Outcome{
		Request: request, IsRepeat: isRepeat, Result: client.Broken,
		Sent: time.Since(due), Detail: "no host of the data centre is in service",
	}
	hosts := r.config.Balancer.Hosts(dataCentre)
	for i := range hosts {
		var err error
		outcome, err = r.config.Sender.Send(ctx, client.Attempt{
			Request:  request,
			IsRepeat: isRepeat,
			Address:  hosts[(host+i)%len(hosts)],
			Due:      due,
		})
		if !errors.Is(err, client.ErrNoConnection) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// reportProgress reports the progress at each interval until allEnded is closed.
func (r *planExecution) reportProgress(allEnded <-chan struct{}) {
	if r.config.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-allEnded:
			return
		case <-ticker.C:
			r.config.Progress(Progress{
				Elapsed: time.Since(r.startedAt),
				Sent:    int(r.sentCount.Load()),
				Ended:   int(r.endedCount.Load()),
				Planned: r.plannedCount,
			})
		}
	}
}
