package source

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// TestEveryReportKindHasLogEvent logs an Apply effect and each kind of report.
// Every one must have a log event of its own, and other effects must not be
// logged.
func TestEveryReportKindHasLogEvent(t *testing.T) {
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
			t.Errorf("log entry %q has no event number of the configuration", entry.Message)
		}
	}
	if want := int(configuration.ReportLearnedFromPeers) + 2; len(handler.Entries) != want || len(seen) != want {
		t.Errorf("%d log entries with %d different events, want %d", len(handler.Entries), len(seen), want)
	}
}
