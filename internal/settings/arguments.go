package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// alwaysAccepted are flags that the parser itself knows; they take no value.
var alwaysAccepted = []string{"-h", "--help", "--version"}

// CheckArguments compares arguments with what is declared on the parser, before
// it parses them: the parser passes over flags that it does not know and lets
// the last of several values win. Place is the flag, or the argument itself.
func CheckArguments(p *flaggy.Parser, args []string) finding.List {
	findings, _ := checkArguments(p, args)
	return findings
}

// checkArguments also returns the arguments without those found wrong, so that
// the values of the others can be checked.
func checkArguments(p *flaggy.Parser, args []string) (findings finding.List, sound []string) {
	c := argumentCheck{command: &p.Subcommand, given: make(map[string]int)}
	for i := 0; i < len(args); i++ {
		if args[i] == "--" {
			return c.findings.Sorted(), append(sound, args[i:]...)
		}
		before := len(c.findings)
		takes := 1
		if c.one(args[i]) {
			takes = 2
		}
		if i+takes > len(args) {
			c.findings.Add(c.last, "needs a value")
		} else if len(c.findings) == before {
			sound = append(sound, args[i:i+takes]...)
		}
		i += takes - 1
	}
	return c.findings.Sorted(), sound
}

// argumentCheck is the state of one walk over the arguments.
type argumentCheck struct {
	command *flaggy.Subcommand
	// inherited are the flags of the commands above.
	inherited []*flaggy.Flag
	positions int
	given     map[string]int
	// last is the flag seen last.
	last     string
	findings finding.List
}

// one checks one argument and says whether the next one is its value.
func (c *argumentCheck) one(arg string) bool {
	if len(arg) < 2 || arg[0] != '-' {
		c.positional(arg)
		return false
	}
	name, _, hasValue := strings.Cut(arg, "=")
	if slices.Contains(alwaysAccepted, name) {
		return false
	}
	f := c.flag(strings.TrimLeft(name, "-"))
	if f == nil {
		c.findings.Add(name, "is not a flag of "+c.command.Name+"; --help lists them")
		return false
	}
	place := "--" + f.LongName
	c.given[place]++
	if c.given[place] > 1 {
		c.findings.Add(place, fmt.Sprintf("is given %d times; give it once", c.given[place]))
	}
	_, isSwitch := f.AssignmentVar.(*bool)
	c.last = place
	return !hasValue && !isSwitch
}

func (c *argumentCheck) flag(name string) *flaggy.Flag {
	for _, list := range [][]*flaggy.Flag{c.command.Flags, c.inherited} {
		for _, f := range list {
			if f.HasName(name) {
				return f
			}
		}
	}
	return nil
}

// positional enters a subcommand or counts a positional value.
func (c *argumentCheck) positional(arg string) {
	c.positions++
	for _, sub := range c.command.Subcommands {
		if sub.Position == c.positions && (sub.Name == arg || sub.ShortName == arg) {
			c.inherited = append(c.inherited, c.command.Flags...)
			c.command = sub
			c.positions = 0
			return
		}
	}
	for _, value := range c.command.PositionalFlags {
		if value.Position == c.positions {
			return
		}
	}
	c.findings.Add("arguments", fmt.Sprintf("%q is not expected; --help shows what is accepted", arg))
}
