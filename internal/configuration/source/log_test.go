package source

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// TestEveryReportHasAnEvent logs each kind of report and an Apply.
func TestEveryReportHasAnEvent(t *testing.T) {
	handler := memory.New()
	logger := &log.Logger{Handler: handler, Level: log.DebugLevel}
	LogEffect(logger, configuration.Apply{Version: 3})
	for kind := configuration.ReportWatchSilent; kind <= configuration.ReportLearnedFromPeers; kind++ {
		LogEffect(logger, configuration.Report{Kind: kind, Version: 3})
	}
	LogEffect(logger, configuration.Announce{})
	seen := make(map[any]bool)
	for _, entry := range handler.Entries {
		seen[entry.Fields.Get("event")] = true
		if number, ok := entry.Fields.Get("event").(int); !ok || number < 4000 {
			t.Errorf("entry %q has no event", entry.Message)
		}
	}
	if want := int(configuration.ReportLearnedFromPeers) + 2; len(handler.Entries) != want || len(seen) != want {
		t.Errorf("%d entries with %d events, want %d", len(handler.Entries), len(seen), want)
	}
}
