package logevent

import "github.com/apex/log"

// Events of the bench, 6500 to 6999.
var (
	BenchStarted  = declare(6500, log.InfoLevel, "bench started", "The bench starts the processes that it measures, with the deployment, policy and seed named; their logs are in the directory named.")
	BenchFinished = declare(6501, log.InfoLevel, "bench finished", "All processes of the bench are stopped and the result is written.")
	BenchFailed   = declare(6502, log.ErrorLevel, "bench failed", "The run could not be carried out; the processes' logs are kept in the directory named.")
	BenchFault    = declare(6503, log.InfoLevel, "bench injects a fault", "A scenario disturbs the fleet in the way named.")
)
