// Command chestnutctl is the operators' tool. It checks, compares and submits
// configurations, and shows which version the hosts have in force, their state,
// and the decisions taken for a request. docs/CHESTNUTCTL.md describes it.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// version is set by the linker.
var version = "development"

// Exit codes of the program, as exitCodes describes them to operators.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = settings.ExitUsage
	exitConflict   = 3
	exitNotInForce = 4
)

// exitCodes is the line of the help that explains the exit codes.
const exitCodes = "Exit codes: 0 done, 1 failed, 2 bad usage or input, 3 conflict with another change, 4 not yet in force everywhere."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], settings.Environ(), streams{os.Stdout, os.Stderr}))
}

// streams holds the standard output and the error output of a command.
type streams struct {
	out    io.Writer
	errOut io.Writer
}

// command is one subcommand with its declaration and its parsed arguments.
type command struct {
	name string
	help string
	// argument is the name of the positional argument; empty for none.
	argument string
	// argumentHelp describes the positional argument in the help and, if it is
	// missing, in the finding.
	argumentHelp string
	// target points to the struct that receives the command's own flags.
	target any
	// run carries out the command; argument is the value of the positional argument.
	run func(ctx context.Context, t *outputWriter, argument string) error

	// The fields below are set by registerFlags and by parsing the arguments.
	sub     *flaggy.Subcommand
	binding *settings.Binding
	// json is true if the result is to be printed as one JSON document.
	json bool
	// argumentValue is the value of the positional argument; empty if it is missing.
	argumentValue string
}

// registerFlags adds the command, with its flags and its argument, to the parser.
func (c *command) registerFlags(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand(c.name)
	c.sub.Description = c.help
	if c.argument != "" {
		c.sub.AddPositionalValue(&c.argumentValue, c.argument, 1, false, c.argumentHelp)
	}
	c.binding = settings.Bind(c.sub, c.target)
	c.sub.Bool(&c.json, "", jsonFlag, jsonHelp)
	p.AttachSubcommand(c.sub, 1)
}

// The flag that every command has.
const (
	jsonFlag = "json"
	jsonHelp = "print one JSON document on the standard output"
)

// execute runs the tool with the given arguments and environment variables and
// returns its exit code.
func execute(ctx context.Context, args []string, environ map[string]string, s streams) int {
	p := settings.NewParser("chestnutctl", "Checks, compares and submits configurations, and shows what hosts do.", version)
	p.ShowHelpOnUnexpected = true
	p.AdditionalHelpAppend = "\n" + exitCodes
	all := commands()
	for _, c := range all {
		c.registerFlags(p)
	}
	if err := parseArgs(p, args); err != nil {
		return usageError(s, finding.List{{Place: "arguments", Problem: err.Error() + "; --help shows what is accepted"}})
	}
	for _, c := range all {
		if c.sub.Used {
			return c.execute(ctx, environ, s)
		}
	}
	return usageError(s, finding.List{{Place: "arguments", Problem: "name a subcommand; --help lists them"}})
}

// parseArgs parses the arguments. The library panics on some malformed
// arguments, such as a lone dash; parseArgs returns the panic as an error.
func parseArgs(p *flaggy.Parser, args []string) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = errors.Errorf("%v", recovered)
		}
	}()
	return p.ParseArgs(args)
}

// execute resolves the command's settings, runs it and returns the exit code.
// All findings of the settings and the argument are shown together.
func (c *command) execute(ctx context.Context, environ map[string]string, s streams) int {
	findings := c.binding.Resolve(environ)
	if c.argument != "" && c.argumentValue == "" {
		findings.Add(c.argument, "is missing; "+c.argumentHelp)
	}
	out := &outputWriter{streams: s, json: c.json}
	if err := findings.Err(); err != nil {
		return out.writeFailure(err)
	}
	if err := c.run(ctx, out, c.argumentValue); err != nil {
		return out.writeFailure(err)
	}
	return exitDone
}

// usageError writes the findings to the error output and returns exitUsage.
func usageError(s streams, findings finding.List) int {
	for _, f := range findings {
		fmt.Fprintln(s.errOut, f)
	}
	return exitUsage
}
