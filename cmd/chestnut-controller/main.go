// Command chestnut-controller gives the engines of a data centre their orders.
// It runs on every entry host; one of a data centre's holds the lease.
//
// Exit codes: 0 after a graceful stop, 1 when running failed, 2 for bad flags,
// variables or arguments.
package main

import (
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/controller/process"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/settings"
)

const name = "chestnut-controller"

func main() {
	var s process.Settings
	settings.MustParse(settings.NewParser(name, "gives the engines of a data centre their orders, while it holds the lease", settings.Version), &s)
	logger, err := settings.Logger(os.Stderr, s.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: --log-level: %v\n", name, err)
		os.Exit(settings.ExitUsage)
	}
	if err := serve(s, logger); err != nil {
		logevent.ProcessFailed.Emit(logger, log.Fields{"error": err.Error()})
		os.Exit(settings.ExitFailed)
	}
	logevent.ProcessStopped.Emit(logger, log.Fields{"host": s.Host})
}

func serve(s process.Settings, logger log.Interface) error {
	p, err := process.New(s, logger)
	if err != nil {
		return err
	}
	var g run.Group
	if err := p.AddTo(&g); err != nil {
		return err
	}
	return g.Run()
}
