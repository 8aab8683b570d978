package host

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

// TestOperatingPageListsSettings checks that the operating page lists exactly
// the settings of the router, in the order of the code.
func TestOperatingPageListsSettings(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n### chestnut-router\n")
	if !found {
		t.Fatal("the page has no section for chestnut-router")
	}
	section, _, _ = strings.Cut(section, "\n#")
	var got, want []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| --") && !strings.HasPrefix(line, "| ---") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for _, f := range settings.Fields(&Settings{}) {
		want = append(want, fmt.Sprintf("| --%s | %s | %s | %s |", f.Flag, f.Variable, f.Default, f.Help))
	}
	if g, w := strings.Join(got, "\n"), strings.Join(want, "\n"); g != w {
		t.Errorf("the page has\n%s\nthe code has\n%s", g, w)
	}
}

// TestCallersPageListsRefusedClaims checks that the callers' page gives the
// same outcome and Retry-After for every refused claim as the code.
func TestCallersPageListsRefusedClaims(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for decision, r := range refusals {
		_, row, found := strings.Cut(string(text), "\n| `"+string(r.code)+"` |")
		row, _, _ = strings.Cut(row, "\n")
		cells := strings.Split(row, "|")
		if !found || len(cells) < 4 {
			t.Errorf("%s: the page has no row for %s", decision, r.code)
			continue
		}
		if got := strings.Trim(cells[1], " `"); got != string(r.outcome) {
			t.Errorf("%s: the page has outcome %q, callers get %s", r.code, got, r.outcome)
		}
		after := strings.TrimSpace(cells[2])
		if r.retryAfter == 0 && after != "" || !strings.Contains(after, strings.TrimPrefix(fmt.Sprintf("%g", r.retryAfter.Seconds()), "0")) {
			t.Errorf("%s: the page has Retry-After %q, callers get %s", r.code, after, r.retryAfter)
		}
	}
}
