// Command chestnutctl is the operators' tool: it checks, compares and submits
// configurations, and shows what the hosts have in force, their state, and
// the decisions taken for a request. docs/CHESTNUTCTL.md is its page.
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

// Exit codes.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = settings.ExitUsage
	exitConflict   = 3
	exitNotInForce = 4
)

const exitCodes = "Exit codes: 0 done, 1 failed, 2 bad usage or input, 3 conflict with another change, 4 not yet in force everywhere."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(start(ctx, os.Args[1:], settings.Environ(), streams{os.Stdout, os.Stderr}))
}

// streams are what a command reads and writes.
type streams struct {
	out    io.Writer
	errOut io.Writer
}

// command is one subcommand.
type command struct {
	name string
	help string
	// argument names the positional argument; empty for none.
	argument     string
	argumentHelp string
	// target holds the settings, which have flags of their own.
	target any
	run    func(ctx context.Context, t *terminal, argument string) error

	sub     *flaggy.Subcommand
	binding *settings.Binding
	json    bool
	value   string
}

// attach declares the command's flags.
func (c *command) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand(c.name)
	c.sub.Description = c.help
	if c.argument != "" {
		c.sub.AddPositionalValue(&c.value, c.argument, 1, false, c.argumentHelp)
	}
	c.binding = settings.Bind(c.sub, c.target)
	c.sub.Bool(&c.json, "", jsonFlag, jsonHelp)
	p.AttachSubcommand(c.sub, 1)
}

const (
	jsonFlag = "json"
	jsonHelp = "print one JSON document on the standard output"
)

func start(ctx context.Context, args []string, environ map[string]string, s streams) int {
	p := settings.NewParser("chestnutctl", "Checks, compares and submits configurations, and shows what hosts do.", version)
	p.ShowHelpOnUnexpected = true
	p.AdditionalHelpAppend = "\n" + exitCodes
	all := commands()
	for _, c := range all {
		c.attach(p)
	}
	if err := parse(p, args); err != nil {
		return usage(s, finding.List{{Place: "arguments", Problem: err.Error() + "; --help shows what is accepted"}})
	}
	for _, c := range all {
		if c.sub.Used {
			return c.start(ctx, environ, s)
		}
	}
	return usage(s, finding.List{{Place: "arguments", Problem: "name a subcommand; --help lists them"}})
}

// parse reads the arguments. The library panics on some malformed ones, such
// as a lone dash.
func parse(p *flaggy.Parser, args []string) (err error) {
	defer func() {
		if malformed := recover(); malformed != nil {
			err = errors.Errorf("%v", malformed)
		}
	}()
	return p.ParseArgs(args)
}

func (c *command) start(ctx context.Context, environ map[string]string, s streams) int {
	findings := c.binding.Resolve(environ)
	if c.argument != "" && c.value == "" {
		findings.Add(c.argument, "is missing; "+c.argumentHelp)
	}
	t := &terminal{streams: s, json: c.json}
	if err := findings.Err(); err != nil {
		return t.fail(err)
	}
	if err := c.run(ctx, t, c.value); err != nil {
		return t.fail(err)
	}
	return exitDone
}

func usage(s streams, findings finding.List) int {
	for _, f := range findings {
		fmt.Fprintln(s.errOut, f)
	}
	return exitUsage
}
