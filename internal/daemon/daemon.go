// Package daemon is the main function that the long-running binaries share:
// settings, logger, run group and exit code.
package daemon

import (
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/outlog"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// Settings are a daemon's settings; a pointer to a struct with settings tags.
type Settings interface {
	settings.Validator
	// Level is the least level logged.
	Level() string
}

// Main runs a daemon until it stops and returns its exit code. assemble adds
// the actors to the group once the settings are resolved.
func Main(name, description string, s Settings, assemble func(log.Interface, *run.Group) error) int {
	settings.MustParse(settings.NewParser(name, description, settings.Version), s)
	lines := outlog.New(os.Stdout)
	defer lines.Close()
	logger, err := settings.Logger(lines, s.Level())
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: --log-level: %v\n", name, err)
		return settings.ExitUsage
	}
	var g run.Group
	addDropReport(&g, lines, logger)
	err = assemble(logger, &g)
	if err == nil {
		err = g.Run()
	}
	if err != nil {
		logevent.ProcessFailed.Emit(logger, log.Fields{"error": err.Error()})
		return settings.ExitFailed
	}
	logevent.ProcessStopped.Emit(logger, nil)
	return settings.ExitOK
}

// dropReportInterval is the time between two looks at dropped log lines.
const dropReportInterval = 10 * time.Second

// addDropReport logs how many lines the limit of the log's volume has dropped.
func addDropReport(g *run.Group, lines *outlog.Writer, logger log.Interface) {
	done := make(chan struct{})
	g.Add(func() error {
		ticker := time.NewTicker(dropReportInterval)
		defer ticker.Stop()
		reported := uint64(0)
		for {
			select {
			case <-done:
				return nil
			case <-ticker.C:
				if dropped := lines.Dropped(); dropped > reported {
					logevent.LogLinesDropped.Emit(logger, log.Fields{"lines": dropped - reported})
					reported = dropped
				}
			}
		}
	}, func(error) { close(done) })
}
