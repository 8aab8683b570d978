package logevent

import "github.com/apex/log"

// Events of the configuration, 4000 to 4999.
var (
	ConfigurationApplied         = declare(4000, log.InfoLevel, "configuration applied", "A newer accepted version is in force in this process.")
	ConfigurationLearned         = declare(4001, log.WarnLevel, "configuration learned from peers", "A fresh process could not read the object API and took the highest version of its peers.")
	ConfigurationWatchSilent     = declare(4002, log.WarnLevel, "configuration watch silent", "A watch on the object API did not end in its time; it was replaced on a new connection. Look at the path to the object API if it repeats.")
	ConfigurationOutdated        = declare(4003, log.WarnLevel, "object API behind", "The object API returned an older configuration than the one in force, which is kept. Expected for a moment when a change spreads; otherwise look whether the object API was restored from a copy.")
	ConfigurationVersionConflict = declare(4004, log.ErrorLevel, "configuration version disputed", "Two different manifests claim one version. Look whether the object API was restored from a copy; submit a version above both.")
	ConfigurationRejected        = declare(4005, log.ErrorLevel, "configuration rejected", "An accepted version cannot be read by this process, which keeps the one in force. Replace the process by a newer release, or submit a version that it can read.")
)
