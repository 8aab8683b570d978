// Package settings fills the settings of a program from flags, environment
// variables and defaults, in that order of precedence, and reports all problems
// together, each with its place.
//
// A settings struct describes each field with tags:
//
//	Listen string `env:"CHESTNUT_LISTEN" flag:"listen" default:"127.0.0.1:8080" help:"address for callers (ip:port)"`
//
// The value of a field tagged secret:"true" is never printed.
package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"

	"github.com/caarlos0/env/v11"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// ExitUsage is the exit code for invalid flags, variables or arguments.
const ExitUsage = 2

// Validator is implemented by settings with checks of ranges or of several fields
// together.
type Validator interface {
	// Validate returns every problem found. The Place of a finding is the name of the
	// flag with its dashes.
	Validate() finding.List
}

// Field describes one setting.
type Field struct {
	// Name is the name of the Go field.
	Name string
	// Flag is the long name of the flag, without dashes.
	Flag string
	// Variable is the name of the environment variable.
	Variable string
	// Default is the value that applies when neither the flag nor the variable is
	// given.
	Default string
	// Help explains the meaning and the unit.
	Help string
	// Secret is true when the value must never be printed.
	Secret bool
}

// Fields returns the settings of the struct that target points to, in the order of
// their declaration.
func Fields(target any) []Field {
	t := reflect.TypeOf(target).Elem()
	fields := make([]Field, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("flag")
		if name == "" {
			continue
		}
		fields = append(fields, Field{
			Name:     f.Name,
			Flag:     name,
			Variable: f.Tag.Get("env"),
			Default:  f.Tag.Get("default"),
			Help:     f.Tag.Get("help"),
			Secret:   f.Tag.Get("secret") == "true",
		})
	}
	return fields
}

// Binding connects a settings struct with the flags of one command.
type Binding struct {
	target any
	fields []Field
	// flags holds the value given to the flag of each field, in the order of
	// fields; it is empty for a flag that was not given.
	flags []string
}

// Bind declares the flags of the target on a command or subcommand. Call Resolve
// after the flags have been parsed.
func Bind(command *flaggy.Subcommand, target any) *Binding {
	fields := Fields(target)
	b := &Binding{target: target, fields: fields, flags: make([]string, len(fields))}
	for i, f := range fields {
		command.String(&b.flags[i], "", f.Flag, flagHelp(f))
	}
	return b
}

// flagHelp returns the help text of a flag, with its variable and its default.
func flagHelp(f Field) string {
	text := f.Help + " [" + f.Variable + "]"
	if f.Default != "" {
		text += " (default " + f.Default + ")"
	}
	return text
}

// Resolve fills the target with the values of the flags, of the given environment
// and of the defaults. It returns every finding, ordered by place. It validates
// the target only if each value could be parsed.
func (b *Binding) Resolve(environ map[string]string) finding.List {
	values := make(map[string]string, len(b.fields))
	places := make(map[string]string, len(b.fields))
	for i, f := range b.fields {
		value, place := resolveValue(f, b.flags[i], environ)
		values[f.Variable] = value
		places[f.Name] = place
	}
	findings := parseValues(b.target, values, places)
	if v, ok := b.target.(Validator); ok && len(findings) == 0 {
		findings = append(findings, v.Validate()...)
	}
	return findings.Sorted()
}

// resolveValue returns the value that applies to a setting, and the place from
// which it comes.
func resolveValue(f Field, flag string, environ map[string]string) (value, place string) {
	if flag != "" {
		return flag, "--" + f.Flag
	}
	if v, ok := environ[f.Variable]; ok && v != "" {
		return v, f.Variable
	}
	return f.Default, "default of --" + f.Flag
}

// parseValues parses the values, given by variable, into the fields of the target.
// The places, given by field, become the places of the findings.
func parseValues(target any, values, places map[string]string) finding.List {
	err := env.ParseWithOptions(target, env.Options{Environment: values})
	if err == nil {
		return nil
	}
	var findings finding.List
	var aggregate env.AggregateError
	if !errors.As(err, &aggregate) {
		findings.Add("settings", err.Error())
		return findings
	}
	for _, e := range aggregate.Errors {
		var parseError env.ParseError
		if errors.As(e, &parseError) {
			findings.Add(places[parseError.Name], parseError.Err.Error())
			continue
		}
		findings.Add("settings", e.Error())
	}
	return findings
}

// Environ returns the environment of the process as a map.
func Environ() map[string]string {
	m := make(map[string]string)
	for _, entry := range os.Environ() {
		if name, value, ok := strings.Cut(entry, "="); ok {
			m[name] = value
		}
	}
	return m
}

// NewParser returns a flaggy parser that leaves the reporting of errors to the
// caller.
func NewParser(name, description, version string) *flaggy.Parser {
	p := flaggy.NewParser(name)
	p.Description = description
	p.Version = version
	p.ShowHelpOnUnexpected = false
	return p
}

// Parse does all that a program without subcommands needs at its start: it parses
// the arguments, resolves the target and returns every finding.
func Parse(p *flaggy.Parser, target any, args []string, environ map[string]string) finding.List {
	binding := Bind(&p.Subcommand, target)
	findings, valid := checkArguments(p, args)
	if err := p.ParseArgs(valid); err != nil {
		findings.Add("arguments", err.Error())
		return findings
	}
	return append(findings, binding.Resolve(environ)...).Sorted()
}
