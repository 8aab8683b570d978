// Command chestnut-standin runs stand-ins of the upstreams and the platform
// for demonstrations and tests: many engines or services in one process, or
// the platform's object API.
//
// Exit codes: 0 after a clean stop, 1 when running failed, 2 for bad flags,
// variables or arguments.
package main

import (
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/internal/stop"
)

// version is set by the linker.
var version = "development"

const exitFailed = 1

// command is one subcommand with its settings.
type command struct {
	sub     *flaggy.Subcommand
	binding *settings.Binding
	// extraCheck returns findings that the settings' own checks don't cover; it may be nil.
	extraCheck func() finding.List
	// run starts the stand-ins and adds them to the group.
	run func(log.Interface, *run.Group) error
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the program with the given arguments and returns its exit code.
func execute(args []string) int {
	p := settings.NewParser("chestnut-standin", "Runs stand-ins of engines, services or the platform on loopback addresses.", version)
	p.ShowHelpOnUnexpected = true
	p.AdditionalHelpAppend = "\nExit codes: 0 clean stop, 1 running failed, 2 bad flags, variables or arguments."
	commands := []command{enginesCommand(), servicesCommand(), platformCommand()}
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return usageError(finding.List{{Place: "arguments", Problem: err.Error()}})
	}
	if findings := settings.CheckArguments(p, args); len(findings) > 0 {
		return usageError(findings)
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.execute()
		}
	}
	return usageError(finding.List{{Place: "arguments", Problem: "name a subcommand: engines, services or platform; --help shows them"}})
}

// usageError writes the findings to the error output and returns the exit code for bad usage.
func usageError(findings finding.List) int {
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	return settings.ExitUsage
}

// execute checks the settings of the subcommand, runs it until it fails or a
// signal stops it, and returns the exit code.
func (c command) execute() int {
	findings := c.binding.Resolve(settings.Environ())
	if c.extraCheck != nil {
		findings = append(findings, c.extraCheck()...)
	}
	if len(findings) > 0 {
		return usageError(findings.Sorted())
	}
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	var group run.Group
	group.Add(stop.OnSignal(nil, func() error { return nil }))
	if err := c.run(logger, &group); err != nil {
		logevent.ProcessFailed.Emit(logger, log.Fields{"error": err.Error()})
		return exitFailed
	}
	if err := group.Run(); err != nil {
		logevent.ProcessFailed.Emit(logger, log.Fields{"error": err.Error()})
		return exitFailed
	}
	logevent.ProcessStopped.Emit(logger, nil)
	return 0
}
