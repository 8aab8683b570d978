package logevent

import "github.com/apex/log"

// Events of the router: 1000 to 1999.
var (
	RequestRefused    = declare(1001, log.InfoLevel, "request refused", "A request was not admitted; the code gives the reason. Many refusals with the code overloaded mean that the data centre lacks capacity.")
	RequestFailed     = declare(1002, log.WarnLevel, "request failed", "An admitted request ended without an answer; code and outcome say what is known. Look at the upstream named in the account of the request.")
	RequestRetried    = declare(1003, log.InfoLevel, "request retried", "An attempt failed, and another attempt was sent.")
	DrainLimitReached = declare(1040, log.ErrorLevel, "drain limit reached", "The host stopped while requests were still in flight, because the drain limit had passed.")
	ClaimKept         = declare(1050, log.WarnLevel, "claim kept", "An action was not run, but its idempotency key could not be released. Repeated requests with the key are told that the outcome is unknown.")
)
