package source

import (
	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/logevent"
)

// reportEvents maps the kinds of the Tracker's reports to log events.
var reportEvents = map[configuration.ReportKind]logevent.Event{
	configuration.ReportWatchSilent:      logevent.ConfigurationWatchSilent,
	configuration.ReportStoreOutdated:    logevent.ConfigurationOutdated,
	configuration.ReportVersionConflict:  logevent.ConfigurationVersionConflict,
	configuration.ReportVersionRejected:  logevent.ConfigurationRejected,
	configuration.ReportLearnedFromPeers: logevent.ConfigurationLearned,
}

// LogEffect writes a log line for a Report or Apply effect. It ignores all
// other effects.
func LogEffect(l log.Interface, e configuration.Effect) {
	switch e := e.(type) {
	case configuration.Apply:
		fields := log.Fields{"version": e.Version, "author": e.Change.Author, "note": e.Change.Note}
		logevent.ConfigurationApplied.Emit(l, fields)
	case configuration.Report:
		fields := log.Fields{"version": e.Version, "host": e.Host, "detail": e.Detail}
		reportEvents[e.Kind].Emit(l, fields)
	}
}
