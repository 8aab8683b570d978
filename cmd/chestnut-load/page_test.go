package main

import (
	"os"
	"testing"

	"github.com/chestnutline/chestnutline/internal/settings"
)

// TestSettingsPageMatchesCode checks that docs/SETTINGS.md lists the declared settings.
func TestSettingsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for heading, target := range map[string]any{
		"chestnut-load demo": &demoSettings{},
		"chestnut-load run":  &runSettings{},
		"chestnut-load soak": &soakSettings{},
	} {
		if want := settings.PageMismatch(string(page), heading, target); want != "" {
			t.Errorf("docs/SETTINGS.md lacks:\n%s", want)
		}
	}
}
