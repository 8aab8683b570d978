package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/bench"
	"github.com/chestnutline/chestnutline/internal/bench/report"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// Policies of the routers. The naive policy, the baseline for comparisons, sends
// each request at once to a random usable engine, retries after errors, and makes no
// claims.
const (
	policyDefault = "default"
	policyNaive   = "naive"
)

// runSettings holds the flags of the subcommand run.
type runSettings struct {
	Deployment    string  `env:"CHESTNUT_DEPLOYMENT" flag:"deployment" default:"moderation" help:"fleet and callers: moderation or order-desk"`
	Policy        string  `env:"CHESTNUT_POLICY" flag:"policy" default:"default" help:"policy of the routers: default or naive"`
	Seed          uint64  `env:"CHESTNUT_SEED" flag:"seed" default:"1" help:"seed of all generators"`
	Seconds       float64 `env:"CHESTNUT_SECONDS" flag:"seconds" default:"60" help:"time during which requests arrive, in seconds; without a scenario half of it is the shorts alone"`
	Load          float64 `env:"CHESTNUT_LOAD" flag:"load" default:"0.7" help:"offered prompts as a share of the fleet's capacity"`
	Scenario      string  `env:"CHESTNUT_SCENARIO" flag:"scenario" default:"" help:"faults during the run, none if empty"`
	JSON          string  `env:"CHESTNUT_JSON" flag:"json" default:"" help:"file for the report"`
	Plot          string  `env:"CHESTNUT_PLOT" flag:"plot" default:"" help:"file for a plot of the time to first token (png or svg)"`
	IgnoreFencing bool    `env:"CHESTNUT_IGNORE_FENCING" flag:"ignore-fencing" default:"false" help:"let the stand-in engines ignore fencing numbers (true or false)"`
	Logs          string  `env:"CHESTNUT_LOGS" flag:"logs" default:"" help:"directory for the processes' logs; a temporary one, removed after a good run, if empty"`
}

// Bounds of the settings. The load is a share of the fleet's capacity.
const (
	minSeconds = 4
	maxSeconds = 3600
	maxLoad    = 4
)

// Validate implements settings.Validator.
func (s *runSettings) Validate() finding.List {
	var findings finding.List
	if _, err := workload.ByName(s.Deployment); err != nil {
		findings.Add("--deployment", err.Error())
	}
	if s.Policy != policyDefault && s.Policy != policyNaive {
		findings.Add("--policy", "must be default or naive")
	}
	if s.Seconds < minSeconds || s.Seconds > maxSeconds {
		findings.Add("--seconds", fmt.Sprintf("must be from %d to %d", minSeconds, maxSeconds))
	}
	if s.Load <= 0 || s.Load > maxLoad {
		findings.Add("--load", fmt.Sprintf("must be above 0 and at most %d", maxLoad))
	}
	if s.Scenario != "" && !bench.HasScenario(s.Scenario) {
		findings.Add("--scenario", "must be one of "+strings.Join(bench.ScenarioNames(), ", "))
	}
	return findings
}

// runCommand returns the subcommand run.
func runCommand() command {
	s := &runSettings{}
	sub := flaggy.NewSubcommand("run")
	sub.Description = "drives a whole deployment and reports"
	return command{sub: sub, binding: settings.Bind(sub, s), run: s.run}
}

// run drives a fleet with the settings and publishes the report.
func (s *runSettings) run(ctx context.Context, logger log.Interface) error {
	deployment, err := workload.ByName(s.Deployment)
	if err != nil {
		return err
	}
	o, err := newOptions(logger)
	if err != nil {
		return err
	}
	o.Deployment, o.Policy, o.Seed = deployment, s.Policy, s.Seed
	o.Duration = time.Duration(s.Seconds * float64(time.Second))
	o.Load, o.Scenario, o.IgnoreFencing = s.Load, s.Scenario, s.IgnoreFencing
	return withLogs(s.Logs, o, func(o bench.Options) error {
		r, err := bench.Run(ctx, o)
		if err != nil {
			return err
		}
		return s.publish(r)
	})
}

// publish writes the report and its plot to the files that the settings name,
// and prints its notes and its table.
func (s *runSettings) publish(r *report.Report) error {
	name := r.Policy
	if s.JSON != "" {
		if err := r.Write(s.JSON); err != nil {
			return err
		}
	}
	if s.Plot != "" {
		if err := report.Plot(s.Plot, []string{name}, []*report.Report{r}); err != nil {
			return err
		}
	}
	for _, note := range r.Notes {
		fmt.Fprintln(os.Stderr, "note:", note)
	}
	return report.WriteTable(os.Stdout, []string{name}, []*report.Report{r})
}
