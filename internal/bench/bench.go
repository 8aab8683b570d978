// Package bench measures real processes of the system under generated load
// and faults. It starts them, drives them, checks every answer and every
// counter of the stand-ins, and reports; it is no part of the system.
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

// Submitter submits a configuration on a base version and returns the version
// that it was accepted as.
type Submitter interface {
	// Submit makes c the accepted configuration if base is still the version.
	Submit(ctx context.Context, platformURL string, c *intent.Configuration, base uint64) (uint64, error)
}

// Options configure a run.
type Options struct {
	Deployment workload.Deployment
	// Policy is the routers' policy, "default" or "naive".
	Policy string
	// Seed starts every generator of the run.
	Seed uint64
	// Duration is how long requests arrive, both phases together.
	Duration time.Duration
	// Load is the offered rate as a share of the capacity.
	Load float64
	// Scenario names the faults of the run, empty for none.
	Scenario string
	// Engine holds the rates of the stand-in engines.
	Engine workload.Engine
	// IgnoreFencing makes the stand-in engines ignore fencing numbers.
	IgnoreFencing bool
	// Token is the text of an answer's token.
	Token answer.TokenFunc
	// Submitter submits configurations.
	Submitter Submitter
	// Programs is the directory of the programs, Logs the one for their logs.
	Programs, Logs string
	// Progress is where progress is printed.
	Progress io.Writer
	// Log receives numbered events.
	Log log.Interface
}

const (
	// startLimit bounds the time until all hosts are ready.
	startLimit = 30 * time.Second
	// warmUp is how long hosts get to learn of the engines once ready.
	warmUp = 2 * time.Second
	// settleLimit bounds the wait for engines to give back their memory.
	settleLimit = 15 * time.Second
	// settlePoll is how often the engines are asked meanwhile.
	settlePoll = 250 * time.Millisecond
	// kvBytesPerToken is the KV memory of one token of a model with 32
	// layers, 8 KV heads of 128 numbers each and one byte a number, keys and
	// values.
	kvBytesPerToken = 2 * 32 * 8 * 128
)

// session is one started fleet with its callers.
type session struct {
	options Options
	fleet   *fleet.Fleet
	client  *client.Client
	version uint64
}

// balancer is the fleet's as the driver sees it.
type balancer struct{ fleet *fleet.Fleet }

// Hosts lists the addresses in service.
func (b balancer) Hosts(dataCentre int) []string { return b.fleet.AddressesOf(dataCentre) }

// open starts a fleet, submits its configuration and waits until it is ready.
func open(ctx context.Context, o Options) (*session, error) {
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
		return s.explain(err)
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "starting the fleet")
	case <-time.After(warmUp):
		return nil
	}
}

// explain adds to an error which processes have ended.
func (s *session) explain(err error) error {
	if dead := s.fleet.EndedProcesses(); len(dead) > 0 {
		return errors.Wrapf(err, "processes have ended: %v", dead)
	}
	return err
}

func (s *session) close() {
	s.client.Close()
	s.fleet.Close()
}

// drive runs a plan with progress.
func (s *session) drive(ctx context.Context, phase string, plan []*workload.Request) []client.Outcome {
	return driver.Run(ctx, driver.Config{
		Sender:   s.client,
		Balancer: balancer{s.fleet},
		Progress: func(p driver.Progress) {
			fmt.Fprintf(s.options.Progress, "%s: %3.0f s, %d of %d sent, %d in flight\n",
				phase, p.Elapsed.Seconds(), p.Sent, p.Planned, p.Sent-p.Ended)
		},
	}, plan)
}

// settle waits until the engines hold no memory, or for the settle limit, and
// returns what all stand-ins have counted then.
func (s *session) settle(ctx context.Context) (fleet.Counts, error) {
	limit := time.Now().Add(settleLimit)
	for {
		counts, err := s.fleet.Counts(ctx, false)
		if err != nil {
			return counts, s.explain(err)
		}
		if counts.MemoryHeld() == 0 || time.Now().After(limit) {
			return s.fleet.Counts(ctx, true)
		}
		select {
		case <-ctx.Done():
			return counts, errors.Wrap(ctx.Err(), "waiting for the engines to settle")
		case <-time.After(settlePoll):
		}
	}
}

// checkCounters fills the report with what only the stand-ins know. If the
// request ids of no delivered request are among the stand-ins' counters, the
// two can't be compared and false_not_run stays unmeasured.
func checkCounters(r *report.Report, d workload.Deployment, counts fleet.Counts, outcomes []client.Outcome) {
	left := counts.MemoryHeld() * kvBytesPerToken
	r.MemoryLeftBytes = &left
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
		if o.Told == client.ToldNotRun {
			falseNotRun++
		}
	}
	twice := counts.RepeatedActionRuns(d.ActionKinds, len(keys))
	r.ActionsDoneTwice = &twice
	if comparable {
		r.FalseNotRun = &falseNotRun
		return
	}
	r.Notes = append(r.Notes, "no delivered request is known to the stand-ins by its id, so false_not_run was not measured")
}
