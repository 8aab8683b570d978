package logevent

import "github.com/apex/log"

// Events of every process: 1 to 99.
var (
	ProcessStarted  = declare(1, log.InfoLevel, "process started", "The process listens on the given addresses.")
	ProcessStopping = declare(2, log.InfoLevel, "process stopping", "The process was asked to stop. It finishes the work in flight first.")
	ProcessStopped  = declare(3, log.InfoLevel, "process stopped", "All work is finished; the process exits.")
	ProcessFailed   = declare(4, log.ErrorLevel, "process failed", "A component of the process ended with an error; the process exits with code 1.")
)
