package process

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

// TestOperatingPageListsSettings checks that the table of the controller in the
// operating page lists the same flags as the code, in the same order.
func TestOperatingPageListsSettings(t *testing.T) {
	text, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n### chestnut-controller\n")
	if !found {
		t.Fatal("the page has no section for chestnut-controller")
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
