package source

import (
	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/logevent"
)

// reports maps what a Tracker reports to log events.
var reports = map[configuration.ReportKind]logevent.Event{
	configuration.WatchSilent:      logevent.ConfigurationWatchSilent,
	configuration.StoreBehind:      logevent.ConfigurationOutdated,
	configuration.VersionDisputed:  logevent.ConfigurationVersionConflict,
	configuration.VersionRejected:  logevent.ConfigurationRejected,
	configuration.LearnedFromPeers: logevent.ConfigurationLearned,
}

// Log writes the effects that concern the log: Report and Apply.
func Log(l log.Interface, e configuration.Effect) {
	switch e := e.(type) {
	case configuration.Apply:
		fields := log.Fields{"version": e.Version, "author": e.Change.Author, "note": e.Change.Note}
		logevent.ConfigurationApplied.Emit(l, fields)
	case configuration.Report:
		fields := log.Fields{"version": e.Version, "host": e.Host, "detail": e.Detail}
		reports[e.Kind].Emit(l, fields)
	}
}
