package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

const pagePath = "../../docs/CHESTNUTCTL.md"

// expectedLines returns the lines that the page must contain: for every command
// its heading, its help text and a row for each flag.
func expectedLines() map[string]bool {
	want := make(map[string]bool)
	for _, c := range commands() {
		want[strings.TrimSpace("## "+c.name+" "+c.argument)] = true
		want[c.help] = true
		for _, f := range settings.Fields(c.target) {
			want[fmt.Sprintf("| --%s | %s | %s | %s |", f.Flag, f.Variable, f.Default, f.Help)] = true
		}
	}
	want[fmt.Sprintf("| --%s |  |  | %s |", jsonFlag, jsonHelp)] = true
	return want
}

// TestPageMatchesCommands checks that docs/CHESTNUTCTL.md lists every declared
// command and flag, and no flag that is not declared.
func TestPageMatchesCommands(t *testing.T) {
	body, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	want := expectedLines()
	found := make(map[string]bool)
	for line := range strings.Lines(string(body)) {
		line = strings.TrimSpace(line)
		found[line] = true
		if strings.HasPrefix(line, "| --") && !strings.HasPrefix(line, "| ---") && !want[line] {
			t.Errorf("the page has a row that no command declares: %s", line)
		}
	}
	for line := range want {
		if !found[line] {
			t.Errorf("the page lacks: %s", line)
		}
	}
	if !found[exitCodes] {
		t.Errorf("the page lacks: %s", exitCodes)
	}
}
