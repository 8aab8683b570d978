package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// builtinFlags are the flags that the parser itself knows. They take no value.
var builtinFlags = []string{"-h", "--help", "--version"}

// CheckArguments compares the arguments with the flags and values declared on the
// parser, before the parser runs: the parser would ignore flags that it does not
// know, and would take the last one of several values. The Place of a finding is
// the flag, or "arguments" for another argument.
func CheckArguments(p *flaggy.Parser, args []string) finding.List {
	findings, _ := checkArguments(p, args)
	return findings
}

// checkArguments also returns the arguments without those that it found wrong, so
// that the values of the remaining ones can be checked.
func checkArguments(p *flaggy.Parser, args []string) (findings finding.List, valid []string) {
	c := argumentChecker{command: &p.Subcommand, occurrences: make(map[string]int)}
	for i := 0; i < len(args); i++ {
		if args[i] == "--" {
			return c.findings.Sorted(), append(valid, args[i:]...)
		}
		findingsBefore := len(c.findings)
		consumed := 1
		if c.checkArgument(args[i]) {
			consumed = 2
		}
		if i+consumed > len(args) {
			c.findings.Add(c.lastFlag, "needs a value")
		} else if len(c.findings) == findingsBefore {
			valid = append(valid, args[i:i+consumed]...)
		}
		i += consumed - 1
	}
	return c.findings.Sorted(), valid
}

// argumentChecker is the state of one pass over the arguments.
type argumentChecker struct {
	// command is the command or subcommand to which the next argument belongs.
	command *flaggy.Subcommand
	// inherited are the flags of the commands above it.
	inherited []*flaggy.Flag
	// position is the position of the last positional value of command, from 1.
	position int
	// occurrences counts how often each flag was given.
	occurrences map[string]int
	// lastFlag is the flag seen last.
	lastFlag string
	findings finding.List
}

// checkArgument checks one argument and reports whether the next one is its value.
func (c *argumentChecker) checkArgument(arg string) bool {
	if len(arg) < 2 || arg[0] != '-' {
		c.checkPositional(arg)
		return false
	}
	name, _, hasValue := strings.Cut(arg, "=")
	if slices.Contains(builtinFlags, name) {
		return false
	}
	f := c.findFlag(strings.TrimLeft(name, "-"))
	if f == nil {
		c.findings.Add(name, "is not a flag of "+c.command.Name+"; --help lists them")
		return false
	}
	place := "--" + f.LongName
	c.occurrences[place]++
	if c.occurrences[place] > 1 {
		c.findings.Add(place, fmt.Sprintf("is given %d times; give it once", c.occurrences[place]))
	}
	_, isSwitch := f.AssignmentVar.(*bool)
	c.lastFlag = place
	return !hasValue && !isSwitch
}

// findFlag returns the flag with the long or short name of the command or of those
// above it, or nil if there is none.
func (c *argumentChecker) findFlag(name string) *flaggy.Flag {
	for _, list := range [][]*flaggy.Flag{c.command.Flags, c.inherited} {
		for _, f := range list {
			if f.HasName(name) {
				return f
			}
		}
	}
	return nil
}

// checkPositional enters the subcommand that the argument names, or counts the
// argument as a positional value.
func (c *argumentChecker) checkPositional(arg string) {
	c.position++
	for _, sub := range c.command.Subcommands {
		if sub.Position == c.position && (sub.Name == arg || sub.ShortName == arg) {
			c.inherited = append(c.inherited, c.command.Flags...)
			c.command = sub
			c.position = 0
			return
		}
	}
	for _, value := range c.command.PositionalFlags {
		if value.Position == c.position {
			return
		}
	}
	c.findings.Add("arguments", fmt.Sprintf("%q is not expected; --help shows what is accepted", arg))
}
