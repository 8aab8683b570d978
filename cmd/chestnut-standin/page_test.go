package main

import (
	"os"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/internal/standin/platform"
)

// TestSettingsPageMatchesCode checks that docs/SETTINGS.md lists the declared settings.
func TestSettingsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for heading, target := range map[string]any{
		"chestnut-standin engines":  &engineSettings{},
		"chestnut-standin services": &serviceSettings{},
		"chestnut-standin platform": &platform.Config{},
	} {
		if want := settings.PageMismatch(string(page), heading, target); want != "" {
			t.Errorf("docs/SETTINGS.md lacks:\n%s", want)
		}
	}
}
