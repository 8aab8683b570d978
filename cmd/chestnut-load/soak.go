package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/soak"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// soakSettings holds the flags of the subcommand soak. A soak runs real gateways
// under random faults and checks that no guarantee is violated.
type soakSettings struct {
	Seed    uint64 `env:"CHESTNUT_SEED" flag:"seed" default:"1" help:"seed of faults, load and changes"`
	Seeds   int    `env:"CHESTNUT_SEEDS" flag:"seeds" default:"1" help:"number of soaks, with this seed and those after it"`
	Seconds int    `env:"CHESTNUT_SECONDS" flag:"seconds" default:"30" help:"how long faults come, in seconds; recovery takes 20 more"`
	Hosts   int    `env:"CHESTNUT_HOSTS" flag:"hosts" default:"4" help:"number of gateways"`
	Callers int    `env:"CHESTNUT_CALLERS" flag:"callers" default:"24" help:"number of callers"`
	JSON    string `env:"CHESTNUT_JSON" flag:"json" default:"" help:"file for the reports, one JSON object a line; standard output if empty"`
	Logs    string `env:"CHESTNUT_LOGS" flag:"logs" default:"" help:"directory for the processes' logs; a temporary one, removed after a good run, if empty"`
}

// Validate implements settings.Validator.
func (s *soakSettings) Validate() finding.List {
	var l finding.List
	if s.Seeds < 1 {
		l.Add("--seeds", "must be 1 or more")
	}
	if s.Seconds < 1 {
		l.Add("--seconds", "must be 1 or more")
	}
	return l
}

// soakCommand returns the subcommand soak.
func soakCommand() command {
	s := &soakSettings{}
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "breaks things around real gateways at random and checks what is promised"
	return command{sub: sub, binding: settings.Bind(sub, s), run: s.run}
}

// errViolations means that at least one soak violated a guarantee.
var errViolations = errors.New("promises were broken")

// run runs one soak for each seed and writes their reports. It continues after a
// soak with violations.
func (s *soakSettings) run(ctx context.Context, _ log.Interface) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the directory of the programs")
	}
	out := os.Stdout
	if s.JSON != "" {
		out, err = os.Create(s.JSON)
		if err != nil {
			return errors.Wrap(err, "create the file for the reports")
		}
		defer out.Close()
	}
	violated := false
	for seed := s.Seed; seed < s.Seed+uint64(s.Seeds) && ctx.Err() == nil; seed++ {
		c := soak.DefaultConfig()
		c.Seed, c.Length, c.Hosts, c.Callers = seed, time.Duration(s.Seconds)*time.Second, s.Hosts, s.Callers
		c.Gateway = filepath.Join(filepath.Dir(self), "chestnut-gateway")
		ok, err := s.runOne(ctx, c, out)
		if err != nil {
			return err
		}
		violated = violated || !ok
	}
	if violated {
		return errViolations
	}
	return ctx.Err()
}

// runOne runs a single soak and writes its report. It reports whether no guarantee
// was violated; if one was, it keeps the logs and writes the history beside them.
func (s *soakSettings) runOne(ctx context.Context, c soak.Config, out *os.File) (bool, error) {
	var err error
	if s.Logs == "" {
		c.Directory, err = os.MkdirTemp("", "chestnut-soak-")
	} else {
		c.Directory = filepath.Join(s.Logs, fmt.Sprintf("seed-%d", c.Seed))
		err = os.MkdirAll(c.Directory, 0o755)
	}
	if err != nil {
		return false, errors.Wrap(err, "make a directory for the processes' logs")
	}
	report, err := soak.Run(ctx, c)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d, logs in %s", c.Seed, c.Directory)
	}
	if err := json.NewEncoder(out).Encode(report); err != nil {
		return false, errors.Wrap(err, "write a report")
	}
	if len(report.Violations) > 0 {
		fmt.Fprintf(os.Stderr, "seed %d: %d broken, logs in %s\n", c.Seed, len(report.Violations), c.Directory)
		return false, report.History.Write(c.Directory)
	}
	if s.Logs == "" {
		err = os.RemoveAll(c.Directory)
	}
	return true, errors.Wrap(err, "remove the processes' logs")
}
