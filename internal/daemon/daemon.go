// Package daemon contains the main function that the long-running programs share:
// it resolves the settings, creates the logger, runs the actors and returns the
// exit code.
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

// Settings are the settings of a daemon, a pointer to a struct with settings tags.
type Settings interface {
	settings.Validator
	// Level returns the lowest level that is logged.
	Level() string
}

// Main runs a daemon until it stops and returns its exit code. Once the settings
// are resolved, it calls addActors, which adds the daemon's actors to the run
// group: functions that run until one of them returns, which stops all others.
// Invalid settings end the process with exit code settings.ExitUsage.
func Main(name, description string, s Settings, addActors func(log.Interface, *run.Group) error) int {
	settings.MustParse(settings.NewParser(name, description, settings.Version), s)
	output := outlog.New(os.Stdout)
	defer output.Close()
	logger, err := settings.Logger(output, s.Level())
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: --log-level: %v\n", name, err)
		return settings.ExitUsage
	}
	var group run.Group
	addDroppedLinesReport(&group, output, logger)
	err = addActors(logger, &group)
	if err == nil {
		err = group.Run()
	}
	if err != nil {
		logevent.ProcessFailed.Emit(logger, log.Fields{"error": err.Error()})
		return settings.ExitFailed
	}
	logevent.ProcessStopped.Emit(logger, nil)
	return settings.ExitOK
}

// droppedLinesInterval is the time between two checks for dropped log lines.
const droppedLinesInterval = 10 * time.Second

// addDroppedLinesReport adds an actor that logs how many log lines were dropped
// because of the limit on the log's volume.
func addDroppedLinesReport(group *run.Group, output *outlog.Writer, logger log.Interface) {
	done := make(chan struct{})
	group.Add(func() error {
		ticker := time.NewTicker(droppedLinesInterval)
		defer ticker.Stop()
		reported := uint64(0)
		for {
			select {
			case <-done:
				return nil
			case <-ticker.C:
				if dropped := output.Dropped(); dropped > reported {
					logevent.LogLinesDropped.Emit(logger, log.Fields{"lines": dropped - reported})
					reported = dropped
				}
			}
		}
	}, func(error) { close(done) })
}
