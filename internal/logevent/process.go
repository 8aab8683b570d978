package logevent

import "github.com/apex/log"

// Events of every process, 1 to 99.
var (
	ProcessStarted  = declare(1, log.InfoLevel, "process started", "The process listens on the addresses given.")
	ProcessStopping = declare(2, log.InfoLevel, "process stopping", "A stop was asked for; work in flight is finished first.")
	ProcessStopped  = declare(3, log.InfoLevel, "process stopped", "All work is finished; the process exits.")
	ProcessFailed   = declare(4, log.ErrorLevel, "process failed", "An actor of the process ended with an error; the process exits with code 1.")
)
