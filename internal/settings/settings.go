// Package settings fills a program's settings from flags, environment
// variables and defaults, in that order of precedence, and reports every
// problem with its place together.
//
// A settings struct describes each field with tags:
//
//	Listen string `env:"CHESTNUT_LISTEN" flag:"listen" default:"127.0.0.1:8080" help:"address for callers (ip:port)"`
//
// A field tagged secret:"true" is masked by Describe.
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

// ExitUsage is the exit code for bad flags, variables or arguments.
const ExitUsage = 2

// Validator is implemented by settings with checks that span fields or ranges.
type Validator interface {
	// Validate returns every problem found; Place is the flag's name with dashes.
	Validate() finding.List
}

// Field describes one setting.
type Field struct {
	// Name is the Go field's name.
	Name string
	// Flag is the long flag without dashes.
	Flag string
	// Variable is the environment variable.
	Variable string
	// Default is the value in force when neither is given.
	Default string
	// Help tells the meaning and the unit.
	Help string
	// Secret says that the value is never printed.
	Secret bool
}

// Fields lists the settings of a struct pointer, in the order of declaration.
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

// Binding connects settings with the flags of one command.
type Binding struct {
	target any
	fields []Field
	flags  []string
}

// Bind declares the target's flags on a command or subcommand. Call Resolve
// after the flags were parsed.
func Bind(command *flaggy.Subcommand, target any) *Binding {
	fields := Fields(target)
	b := &Binding{target: target, fields: fields, flags: make([]string, len(fields))}
	for i, f := range fields {
		command.String(&b.flags[i], "", f.Flag, describe(f))
	}
	return b
}

func describe(f Field) string {
	text := f.Help + " [" + f.Variable + "]"
	if f.Default != "" {
		text += " (default " + f.Default + ")"
	}
	return text
}

// Resolve fills the target and returns every finding.
func (b *Binding) Resolve(environ map[string]string) finding.List {
	raw := make(map[string]string, len(b.fields))
	places := make(map[string]string, len(b.fields))
	for i, f := range b.fields {
		value, place := choose(f, b.flags[i], environ)
		raw[f.Variable] = value
		places[f.Name] = place
	}
	findings := parse(b.target, raw, places)
	if v, ok := b.target.(Validator); ok && len(findings) == 0 {
		findings = append(findings, v.Validate()...)
	}
	return findings.Sorted()
}

func choose(f Field, flag string, environ map[string]string) (value, place string) {
	if flag != "" {
		return flag, "--" + f.Flag
	}
	if v, ok := environ[f.Variable]; ok && v != "" {
		return v, f.Variable
	}
	return f.Default, "default of --" + f.Flag
}

func parse(target any, raw, places map[string]string) finding.List {
	err := env.ParseWithOptions(target, env.Options{Environment: raw})
	if err == nil {
		return nil
	}
	var findings finding.List
	var all env.AggregateError
	if !errors.As(err, &all) {
		findings.Add("settings", err.Error())
		return findings
	}
	for _, e := range all.Errors {
		var p env.ParseError
		if errors.As(e, &p) {
			findings.Add(places[p.Name], p.Err.Error())
			continue
		}
		findings.Add("settings", e.Error())
	}
	return findings
}

// Environ returns the process's environment as a map.
func Environ() map[string]string {
	m := make(map[string]string)
	for _, entry := range os.Environ() {
		if name, value, ok := strings.Cut(entry, "="); ok {
			m[name] = value
		}
	}
	return m
}

// NewParser returns a flaggy parser that leaves error reporting to the caller.
func NewParser(name, description, version string) *flaggy.Parser {
	p := flaggy.NewParser(name)
	p.Description = description
	p.Version = version
	p.ShowHelpOnUnexpected = false
	return p
}

// Parse is the whole start of a program without subcommands: it parses args,
// resolves the target and returns every finding.
func Parse(p *flaggy.Parser, target any, args []string, environ map[string]string) finding.List {
	b := Bind(&p.Subcommand, target)
	findings, sound := checkArguments(p, args)
	if err := p.ParseArgs(sound); err != nil {
		findings.Add("arguments", err.Error())
		return findings
	}
	return append(findings, b.Resolve(environ)...).Sorted()
}
