package process

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

const page = "../../../docs/operating/controller.md"

// TestPageMatchesSettings compares the table of docs/operating/controller.md
// with the settings, in both directions.
func TestPageMatchesSettings(t *testing.T) {
	body, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	want := make(map[string]bool)
	for _, f := range settings.Fields(&Settings{}) {
		want[fmt.Sprintf("| --%s | %s | %s | %s |", f.Flag, f.Variable, f.Default, f.Help)] = true
	}
	for line := range strings.Lines(string(body)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "| --") && !strings.HasPrefix(line, "| ---") && !want[line] {
			t.Errorf("the page has a row that is no setting: %s", line)
		}
		delete(want, line)
	}
	for line := range want {
		t.Errorf("the page lacks: %s", line)
	}
}

// TestBadSettingsAreReportedTogether names the flag of each.
func TestBadSettingsAreReportedTogether(t *testing.T) {
	var s Settings
	p := settings.NewParser("controller", "", "")
	findings := settings.Parse(p, &s, []string{
		"--data-centre", "lima-a", "--admin", "nowhere", "--platform", "127.0.0.1:1",
		"--lease-margin", "9s", "--lease-renew", "9s", "--loads-at-once", "0", "--rolling-share", "2",
	}, nil)
	got := make(map[string]bool)
	for _, f := range findings {
		got[f.Place] = true
	}
	for _, place := range []string{"--host", "--admin", "--platform", "--lease-margin", "--lease-renew", "--loads-at-once", "--rolling-share"} {
		if !got[place] {
			t.Errorf("nothing is said of %s: %v", place, findings)
		}
	}
}
