package logevent

import "github.com/apex/log"

// Events of the calls to the platform's store, and of the claims kept there: 3000
// to 3999.
var (
	StoreUnavailable       = declare(3000, log.WarnLevel, "store unavailable", "The platform's store cannot be reached or answers 503. Actions that may not be repeated are refused; other work goes on.")
	StoreAvailable         = declare(3001, log.InfoLevel, "store available again", "The platform's store answers again. Outcomes that could not be recorded meanwhile are recorded now.")
	StoreThrottles         = declare(3002, log.WarnLevel, "store throttles calls", "The platform's store refused a call because of its rate limit. The call is repeated after a growing wait. If this continues, raise the pace of claims or ask for a higher rate.")
	StoreAnswerLost        = declare(3003, log.WarnLevel, "store answer lost", "The answer to a call did not arrive in time. A write is read back before anything relies on it.")
	ClaimsLayoutDiffers    = declare(3010, log.WarnLevel, "claims layout differs", "The settings ask for another layout of claims than the one in the store. The stored layout is used.")
	ClaimsObjectFull       = declare(3011, log.WarnLevel, "claims object full", "A claim was refused because its object is full. The next window has room; if this occurs often, use more shards or shorter windows.")
	ClaimsObjectUnreadable = declare(3012, log.ErrorLevel, "claims object unreadable", "An object with claims cannot be decoded. Requests with its keys are refused, and the object is left as it is. Restore it, or wait until its keys are too old.")
	OutcomeNotRecorded     = declare(3013, log.WarnLevel, "outcome not recorded", "The outcome of an action could not be recorded. Repeated requests with its key are told that the outcome is unknown.")
)
