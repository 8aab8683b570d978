// Command chestnut-load is the system's test and measuring program, called the
// bench. It starts the system's processes and
// stand-ins on loopback addresses, sends them a generated load, checks the
// answers and stops everything again.
//
// Exit codes: 0 when the run was carried out (and, for demo and soak, no
// guarantee was violated), 1 when it was not, 2 for bad flags, variables or
// arguments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// version is set by the linker.
var version = "development"

const exitFailed = 1

// command is one subcommand with its settings.
type command struct {
	sub *flaggy.Subcommand
	// binding is nil for a command without settings.
	binding *settings.Binding
	// run carries out the subcommand.
	run func(context.Context, log.Interface) error
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the program with the given arguments and returns its exit code.
func execute(args []string) int {
	p := settings.NewParser("chestnut-load", "Measures the system's processes with generated load and faults.", version)
	p.ShowHelpOnUnexpected = true
	p.AdditionalHelpAppend = "\nExit codes: 0 carried out, 1 not carried out or, for demo and soak, not as promised, 2 bad flags, variables or arguments."
	commands := []command{demoCommand(), runCommand(), compareCommand(), capacityCommand(), soakCommand()}
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if findings := settings.CheckArguments(p, args); len(findings) > 0 {
		return usageError(findings)
	}
	if err := p.ParseArgs(args); err != nil {
		return usageError(finding.List{{Place: "arguments", Problem: err.Error()}})
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.execute()
		}
	}
	return usageError(finding.List{{Place: "arguments", Problem: "name a subcommand: demo, run, compare, capacity or soak; --help shows them"}})
}

// usageError writes the findings to the error output and returns the exit code for bad usage.
func usageError(findings finding.List) int {
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	return settings.ExitUsage
}

// execute checks the settings of the subcommand, runs it and returns the exit code.
func (c command) execute() int {
	if c.binding != nil {
		if findings := c.binding.Resolve(settings.Environ()); len(findings) > 0 {
			return usageError(findings)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	if err := c.run(ctx, logger); err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-load:", err)
		return exitFailed
	}
	return 0
}
