package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/bench"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// demoLimit is the time limit of the whole demonstration.
const demoLimit = 40 * time.Second

// demoSettings holds the flags of the subcommand demo.
type demoSettings struct {
	Seed   uint64 `env:"CHESTNUT_SEED" flag:"seed" default:"1" help:"seed of all generators"`
	Policy string `env:"CHESTNUT_POLICY" flag:"policy" default:"default" help:"policy of the routers: default or naive"`
	Logs   string `env:"CHESTNUT_LOGS" flag:"logs" default:"" help:"directory for the processes' logs; a temporary one, removed after a good run, if empty"`
}

// demoCommand returns the subcommand demo.
func demoCommand() command {
	s := &demoSettings{}
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "shows a small fleet in two data centres at work"
	return command{sub: sub, binding: settings.Bind(sub, s), run: s.run}
}

// run carries out the demonstration and prints what it shows.
func (s *demoSettings) run(ctx context.Context, logger log.Interface) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	o, err := newOptions(logger)
	if err != nil {
		return err
	}
	o.Deployment, o.Seed, o.Policy = bench.DemoDeployment(), s.Seed, s.Policy
	return withLogs(s.Logs, o, func(o bench.Options) error {
		return bench.Demo(ctx, o, os.Stdout)
	})
}
