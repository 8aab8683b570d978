// Command chestnut-router is the entry host's process: callers come in here.
package main

import (
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/host"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/settings"
)

const name = "chestnut-router"

func main() {
	var s host.Settings
	settings.MustParse(settings.NewParser(name, "takes callers' requests and routes them to engines and services", settings.Version), &s)
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

func serve(s host.Settings, logger log.Interface) error {
	p, err := host.New(s, logger)
	if err != nil {
		return err
	}
	var g run.Group
	if err := p.AddTo(&g); err != nil {
		return err
	}
	return g.Run()
}
