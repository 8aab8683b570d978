package process

import (
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

// TestInvalidSettingsAreAllReported checks that one run reports every invalid
// setting by its flag.
func TestInvalidSettingsAreAllReported(t *testing.T) {
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
			t.Errorf("no finding names %s: %v", place, findings)
		}
	}
}
