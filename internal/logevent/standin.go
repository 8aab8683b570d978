package logevent

import "github.com/apex/log"

// Events of the stand-ins: 6000 to 6499.
var (
	StandinFault    = declare(6000, log.WarnLevel, "stand-in fault injected", "A test asked the stand-in to fail in the way that the field kind names.")
	StandinFailed   = declare(6001, log.ErrorLevel, "stand-in failed to restart", "A stand-in could not listen again after it was stopped by a fault. Check that no other process took its port.")
	StandinsStarted = declare(6002, log.InfoLevel, "stand-ins started", "The given stand-ins listen; control is the address for faults and counters.")
)
