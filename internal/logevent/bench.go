package logevent

import "github.com/apex/log"

// Events of the bench: 6500 to 6999.
var (
	BenchStarted  = declare(6500, log.InfoLevel, "bench started", "The bench starts the processes that it measures, with the given deployment, policy and seed. Their logs are in the given directory.")
	BenchFinished = declare(6501, log.InfoLevel, "bench finished", "All processes of the bench have stopped, and the result is written.")
	BenchFailed   = declare(6502, log.ErrorLevel, "bench failed", "The run could not be completed. The processes' logs are kept in the given directory.")
	BenchFault    = declare(6503, log.InfoLevel, "bench injects a fault", "A scenario injects the given fault into the fleet.")
)
