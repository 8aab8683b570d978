package logevent

import "github.com/apex/log"

// Events of the controller: 5000 to 5999.
var (
	LeaseAcquired    = declare(5000, log.InfoLevel, "lease acquired", "From now on this controller gives the orders in its data centre, under the given fencing number.")
	LeaseLost        = declare(5001, log.WarnLevel, "lease lost", "This controller gives no more orders. Reason expired: the object API did not confirm a renewal in time, or the process was paused. Reason superseded: another controller holds the lease.")
	LeaseReleased    = declare(5002, log.InfoLevel, "lease released", "This controller is stopping and has released its lease, so that another controller takes over at once.")
	LeaseNotReleased = declare(5003, log.WarnLevel, "lease not released", "The stop took longer than its limit, and the lease was not released. Another controller takes over once the lease has expired.")

	OrderSent       = declare(5010, log.InfoLevel, "order accepted", "The engine has run the order with the given id. Its state is read back next.")
	OrderFenced     = declare(5011, log.WarnLevel, "order refused as outdated", "The engine has seen a higher fencing number than that of the order. This is expected once for a lease holder that was paused; if it continues, event 5014 follows.")
	OrderUncertain  = declare(5012, log.WarnLevel, "order with uncertain effect", "The order was not run, or its answer was lost. The engine's state is read again, and what is still missing is ordered again.")
	OrderBarrier    = declare(5013, log.DebugLevel, "earlier orders blocked", "The engine accepted the first, empty order of a new lease holder. From now on it refuses the orders of earlier holders.")
	FencingOutdated = declare(5014, log.WarnLevel, "fencing number outdated", "An engine reports a higher fencing number than that of this lease holder, which raises its number with the next renewal. If no other controller holds the lease, check whether the object API was restored from a copy.")

	EngineSilent  = declare(5020, log.WarnLevel, "engine does not answer", "The engine's status could not be read several times in a row. Its models are loaded on other engines.")
	EngineAnswers = declare(5021, log.InfoLevel, "engine answers again", "The engine's status can be read again.")
	EngineReset   = declare(5022, log.WarnLevel, "engine lost its orders", "The engine no longer reports the last order of this lease holder, for example after a restart. What the engine lacks is ordered again.")
	ModelAbsent   = declare(5023, log.ErrorLevel, "model on no engine", "No live engine of the data centre serves the model in any version. This is expected while the model is loaded for the first time; otherwise look for dead engines and refused loads.")
	ModelServed   = declare(5024, log.InfoLevel, "model served", "An engine now serves a model that no engine served before.")

	ControllerConfigured          = declare(5030, log.InfoLevel, "configuration in use", "Orders now follow the given version of the configuration.")
	ControllerConfigurationUnread = declare(5031, log.WarnLevel, "configuration not read", "The configuration could not be read. The controller gives no orders while its last reading is too old.")
	ControllerHostListUnread      = declare(5032, log.WarnLevel, "list of hosts not read", "The platform's list of hosts could not be read; the engines of the last list are kept.")
)
