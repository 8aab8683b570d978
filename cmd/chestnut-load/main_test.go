package main

import (
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

// TestAllInvalidSettingsAreReported checks that the problems of all settings are
// reported, not only the first.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	s := &runSettings{Deployment: "x", Policy: "y", Seconds: 1, Load: 9, Scenario: "z"}
	findings := s.Validate()
	var places []string
	for _, f := range findings {
		places = append(places, f.Place)
	}
	if got := strings.Join(places, " "); got != "--deployment --policy --seconds --load --scenario" {
		t.Errorf("findings for %s", got)
	}
	good := &runSettings{Deployment: "order-desk", Policy: policyNaive, Seconds: 60, Load: 1.5, Scenario: "cut"}
	if findings := good.Validate(); len(findings) > 0 {
		t.Errorf("good settings were refused: %v", findings)
	}
}

func TestExitCodes(t *testing.T) {
	for _, args := range [][]string{{}, {"run", "--policy", "best"}, {"run", "--seconds", "many"}} {
		if code := execute(args); code != settings.ExitUsage {
			t.Errorf("%v: exit code %d", args, code)
		}
	}
	if code := execute([]string{"compare", "/nowhere/a.json", "/nowhere/b.json"}); code != exitFailed {
		t.Errorf("missing reports: exit code %d", code)
	}
}
