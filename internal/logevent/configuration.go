package logevent

import "github.com/apex/log"

// Events of the configuration: 4000 to 4999.
var (
	ConfigurationApplied         = declare(4000, log.InfoLevel, "configuration applied", "This process now uses a newer accepted version of the configuration.")
	ConfigurationLearned         = declare(4001, log.WarnLevel, "configuration learned from peers", "A newly started process could not read the object API and took the highest version that its peers have.")
	ConfigurationWatchSilent     = declare(4002, log.WarnLevel, "configuration watch silent", "A watch on the object API did not end in time; it was replaced by one on a new connection. If this repeats, look at the network path to the object API.")
	ConfigurationOutdated        = declare(4003, log.WarnLevel, "object API outdated", "The object API returned an older configuration than the one in force, which is kept. This is expected for a moment while a change spreads; otherwise check whether the object API was restored from a copy.")
	ConfigurationVersionConflict = declare(4004, log.ErrorLevel, "configuration version conflict", "Two different manifests have the same version. Check whether the object API was restored from a copy, and submit a version above both.")
	ConfigurationRejected        = declare(4005, log.ErrorLevel, "configuration rejected", "This process cannot read an accepted version and keeps the version in force. Replace the process by a newer release, or submit a version that it can read.")
)
