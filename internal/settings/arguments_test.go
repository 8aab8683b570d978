package settings

import (
	"slices"
	"testing"

	"github.com/integrii/flaggy"
)

// argumentSettings is a settings struct with a text and a number.
type argumentSettings struct {
	Listen string `env:"TEST_LISTEN" flag:"listen" default:"127.0.0.1:1" help:"address"`
	Count  int    `env:"TEST_COUNT" flag:"count" default:"1" help:"number"`
}

// findingPlaces returns the places of the findings for the arguments.
func findingPlaces(args ...string) []string {
	p := NewParser("program", "", "0")
	var found []string
	for _, f := range Parse(p, &argumentSettings{}, args, nil) {
		found = append(found, f.Place)
	}
	return found
}

// TestParseReportsUndeclaredArguments guards against arguments that are silently
// ignored: misspelt flags, flags given several times, unexpected arguments and
// missing values must all be findings.
func TestParseReportsUndeclaredArguments(t *testing.T) {
	for _, test := range []struct {
		args []string
		want []string
	}{
		{[]string{"--listen", "127.0.0.1:2", "--count=3"}, nil},
		{[]string{"--listne", "127.0.0.1:2"}, []string{"--listne", "arguments"}},
		{[]string{"--listne=127.0.0.1:2", "--other=1"}, []string{"--listne", "--other"}},
		{[]string{"--count", "1", "--count", "2"}, []string{"--count"}},
		{[]string{"--count=1", "--count=2", "--count=3", "--unknown=4"}, []string{"--count", "--count", "--unknown"}},
		{[]string{"serve"}, []string{"arguments"}},
		{[]string{"--listen"}, []string{"--listen"}},
		{[]string{"--count=many", "--unknown=1"}, []string{"--count", "--unknown"}},
	} {
		found := findingPlaces(test.args...)
		slices.Sort(found)
		if !slices.Equal(found, test.want) {
			t.Errorf("%q: findings at %q, not %q", test.args, found, test.want)
		}
	}
}

// TestCheckArgumentsOfSubcommands checks flags and positional values before, after
// and in place of a subcommand.
func TestCheckArgumentsOfSubcommands(t *testing.T) {
	newParser := func() *flaggy.Parser {
		p := NewParser("program", "", "0")
		sub := flaggy.NewSubcommand("show")
		var file, name string
		var long bool
		sub.AddPositionalValue(&file, "file", 1, false, "file")
		sub.String(&name, "", "name", "name")
		sub.Bool(&long, "", "long", "long")
		p.AttachSubcommand(sub, 1)
		return p
	}
	for _, test := range []struct {
		args []string
		want int
	}{
		{[]string{"show", "x.json", "--name", "a", "--long"}, 0},
		{[]string{"show", "--long", "x.json", "--name=a"}, 0},
		{[]string{"show", "--", "--anything"}, 0},
		{[]string{"show", "x.json", "y.json"}, 1},
		{[]string{"--name", "a", "show"}, 3},
		{[]string{"hide"}, 1},
	} {
		if found := CheckArguments(newParser(), test.args); len(found) != test.want {
			t.Errorf("%q: %v", test.args, found)
		}
	}
}
