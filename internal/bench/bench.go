// Package bench measures real processes of the system under generated load and
// injected faults. It starts the processes, sends them requests, checks every
// answer and the counters of the stand-ins, and reports the results. It is not
// part of the system itself.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/driver"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/bench/report"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// Submitter submits configurations to the platform.
type Submitter interface {
	// Submit makes c the accepted configuration if base is still the accepted
	// version, and returns the version under which c was accepted.
	Submit(ctx context.Context, platformURL string, c *intent.Configuration, base uint64) (uint64, error)
}

// Options holds the settings of a run.
type Options struct {
	Deployment workload.Deployment
	// Policy is the dispatch policy of the routers, "default" or "naive".
	Policy string
	// Seed initialises every random generator of the run.
	Seed uint64
	// Duration is the time during which requests arrive, both phases together.
	Duration time.Duration
	// Load is the offered rate as a share of the capacity; 1 is the full
	// capacity.
	Load float64
	// Scenario is the name of the scenario that injects faults, empty for none.
	Scenario string
	// Engine holds the rates of the stand-in engines.
	Engine workload.Engine
	// IgnoreFencing makes the stand-in engines ignore fencing numbers.
	IgnoreFencing bool
	// Token returns the expected text of one token of an answer.
	Token answer.TokenFunc
	// Submitter submits the configurations of the run.
	Submitter Submitter
	// Programs is the directory that contains the programs, and Logs the one to
	// which their logs are written.
	Programs, Logs string
	// Progress is the writer to which progress is printed.
	Progress io.Writer
	// Log receives the numbered log events.
	Log log.Interface
}

const (
	// startLimit is the longest time until all hosts must be ready.
	startLimit = 30 * time.Second
	// warmUp is the time that hosts have, once ready, to learn of the engines.
	warmUp = 2 * time.Second
	// memoryFreeLimit is the longest wait for the engines to release their
	// memory.
	memoryFreeLimit = 15 * time.Second
	// memoryFreePoll is the interval at which the engines are asked during that
	// wait.
	memoryFreePoll = 250 * time.Millisecond
	// kvBytesPerToken is the KV memory of one token in bytes, for a model with 32
	// layers, 8 KV heads of 128 numbers each and one byte a number, for keys and
	// values.
	kvBytesPerToken = 2 * 32 * 8 * 128
)

// session is one started fleet with the client of its callers.
type session struct {
	options Options
	fleet   *fleet.Fleet
	client  *client.Client
	version uint64
}

// balancer gives the driver access to the load balancer of the fleet.
type balancer struct{ fleet *fleet.Fleet }

// Hosts returns the addresses of the hosts of a data centre that are in the load
// balancer.
func (b balancer) Hosts(dataCentre int) []string { return b.fleet.AddressesOf(dataCentre) }

// openSession starts a fleet, submits its configuration and waits until all
// routers are ready.
func openSession(ctx context.Context, o Options) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{
		Deployment:    o.Deployment,
		Policy:        o.Policy,
		Seed:          o.Seed,
		Programs:      o.Programs,
		Logs:          o.Logs,
		Engine:        o.Engine,
		ChecksFencing: !o.IgnoreFencing,
	})
	if err != nil {
		return nil, err
	}
	s := &session{
		options: o,
		fleet:   f,
		client:  client.New(o.Deployment.Model, workload.NewTextPool(o.Seed), o.Token),
	}
	if err := s.configure(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) configure(ctx context.Context) error {
	version, err := s.options.Submitter.Submit(ctx, s.fleet.PlatformURL(), s.options.Deployment.Configuration(), 0)
	if err != nil {
		return errors.Wrap(err, "submitting the configuration")
	}
	s.version = version
	if err := s.fleet.WaitReady(ctx); err != nil {
		return s.addEndedProcesses(err)
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "starting the fleet")
	case <-time.After(warmUp):
		return nil
	}
}

// addEndedProcesses adds the names of the processes that have ended to an error.
func (s *session) addEndedProcesses(err error) error {
	if ended := s.fleet.EndedProcesses(); len(ended) > 0 {
		return errors.Wrapf(err, "processes have ended: %v", ended)
	}
	return err
}

func (s *session) close() {
	s.client.Close()
	s.fleet.Close()
}

// runPlan sends the requests of a plan and prints the progress.
func (s *session) runPlan(ctx context.Context, phase string, plan []*workload.Request) []client.Outcome {
	return driver.Run(ctx, driver.Config{
		Sender:   s.client,
		Balancer: balancer{s.fleet},
		Progress: func(p driver.Progress) {
			fmt.Fprintf(s.options.Progress, "%s: %3.0f s, %d of %d sent, %d in flight\n",
				phase, p.Elapsed.Seconds(), p.Sent, p.Planned, p.Sent-p.Ended)
		},
	}, plan)
}

// waitMemoryFree waits until the engines hold no memory, at most for
// memoryFreeLimit, and then returns the counters of all stand-ins.
func (s *session) waitMemoryFree(ctx context.Context) (fleet.Counts, error) {
	limit := time.Now().Add(memoryFreeLimit)
	for {
		counts, err := s.fleet.Counts(ctx, false)
		if err != nil {
			return counts, s.addEndedProcesses(err)
		}
		if counts.MemoryHeld() == 0 || time.Now().After(limit) {
			return s.fleet.Counts(ctx, true)
		}
		select {
		case <-ctx.Done():
			return counts, errors.Wrap(ctx.Err(), "waiting for the engines to release their memory")
		case <-time.After(memoryFreePoll):
		}
	}
}

// checkCounters sets the values of the report that only the stand-ins know. If
// the stand-ins' counters contain the request id of no delivered request, the ids
// of the two sides can't be compared, and false_not_run stays unmeasured.
func checkCounters(r *report.Report, d workload.Deployment, counts fleet.Counts, outcomes []client.Outcome) {
	memoryLeft := counts.MemoryHeld() * kvBytesPerToken
	r.MemoryLeftBytes = &memoryLeft
	keys := make(map[string]bool)
	falseNotRun, comparable := 0, false
	for _, o := range outcomes {
		if o.Request.IdempotencyKey != "" {
			keys[o.Request.IdempotencyKey] = true
		}
		if o.RequestID == "" || !counts.RanRequest(o.RequestID) {
			continue
		}
		comparable = comparable || o.Result == client.Delivered
		if o.ProblemOutcome == client.ProblemNotRun {
			falseNotRun++
		}
	}
	doneTwice := counts.RepeatedActionRuns(d.ActionKinds, len(keys))
	r.ActionsDoneTwice = &doneTwice
	if comparable {
		r.FalseNotRun = &falseNotRun
		return
	}
	r.Notes = append(r.Notes, "no delivered request is known to the stand-ins by its id, so false_not_run was not measured")
}
