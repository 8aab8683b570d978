package source

import (
	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/logevent"
)

// reports maps what a Tracker reports to log events.
var reports = map[configuration.ReportKind]logevent.Event{
	configuration.ReportWatchSilent:      logevent.ConfigurationWatchSilent,
	configuration.ReportStoreOutdated:    logevent.ConfigurationOutdated,
	configuration.ReportVersionConflict:  logevent.ConfigurationVersionConflict,
	configuration.ReportVersionRejected:  logevent.ConfigurationRejected,
	configuration.ReportLearnedFromPeers: logevent.ConfigurationLearned,
}

// LogEffect writes the effects that concern the log: Report and Apply.
func LogEffect(l log.Interface, e configuration.Effect) {
	switch e := e.(type) {
	case configuration.Apply:
		fields := log.Fields{"version": e.Version, "author": e.Change.Author, "note": e.Change.Note}
		logevent.ConfigurationApplied.Emit(l, fields)
	case configuration.Report:
		fields := log.Fields{"version": e.Version, "host": e.Host, "detail": e.Detail}
		reports[e.Kind].Emit(l, fields)
	}
}
