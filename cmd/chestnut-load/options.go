package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/standin/answer"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// newOptions returns the options that all subcommands that start a fleet share.
// The programs are expected in the directory of this program.
func newOptions(logger log.Interface) (bench.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return bench.Options{}, errors.Wrap(err, "finding the directory of the programs")
	}
	return bench.Options{
		Policy:    policyDefault,
		Engine:    standInRates(),
		Token:     answer.AnswerToken,
		Submitter: submitter{},
		Programs:  filepath.Dir(self),
		Progress:  os.Stderr,
		Log:       logger,
	}, nil
}

// standInRates returns the default rates and sizes of the stand-in engines.
func standInRates() workload.Engine {
	c := batch.DefaultConfig()
	return workload.Engine{
		BaseStepSeconds: c.BaseStep.Seconds(),
		PrefillRate:     c.PrefillRate,
		ChunkTokens:     c.ChunkTokens,
		MemoryTokens:    c.MemoryTokens,
		MaxBatch:        c.MaxBatch,
	}
}

// withLogs calls run with a directory for the processes' logs. If directory is
// empty, it makes a temporary one and removes it, unless the run fails.
func withLogs(directory string, o bench.Options, run func(bench.Options) error) error {
	temporary := directory == ""
	var err error
	if temporary {
		directory, err = os.MkdirTemp("", "chestnut-load-")
	} else {
		err = os.MkdirAll(directory, 0o755)
	}
	if err != nil {
		return errors.Wrap(err, "making a directory for the processes' logs")
	}
	o.Logs = directory
	fields := log.Fields{"deployment": o.Deployment.Name, "policy": o.Policy, "seed": o.Seed, "logs": directory}
	logevent.BenchStarted.Emit(o.Log, fields)
	if err := run(o); err != nil {
		logevent.BenchFailed.Emit(o.Log, log.Fields{"logs": directory, "error": err.Error()})
		return err
	}
	if temporary {
		if err := os.RemoveAll(directory); err != nil {
			fmt.Fprintln(os.Stderr, "removing the processes' logs:", err)
		}
	}
	logevent.BenchFinished.Emit(o.Log, fields)
	return nil
}
