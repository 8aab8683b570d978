package logevent

import "github.com/apex/log"

// Events of the controller, 5000 to 5999.
var (
	LeaseAcquired    = declare(5000, log.InfoLevel, "lease acquired", "This controller gives the orders in its data centre from now on, under the fencing number named.")
	LeaseLost        = declare(5001, log.WarnLevel, "lease lost", "This controller gives no more orders. Reason expired: the object API did not confirm a renewal in time, or the process was paused; superseded: another controller holds the lease.")
	LeaseReleased    = declare(5002, log.InfoLevel, "lease given up", "This controller stops; another one takes over at once.")
	LeaseNotReleased = declare(5003, log.WarnLevel, "lease not given up", "The stop took longer than its limit; another controller takes over once the lease has lapsed.")

	OrderSent       = declare(5010, log.InfoLevel, "order taken", "The engine has run the order's ID; its state is read back next.")
	OrderFenced     = declare(5011, log.WarnLevel, "order refused as old", "The engine has seen a higher fencing number. Expected once of a holder that was paused; if it goes on, 5014 follows.")
	OrderUncertain  = declare(5012, log.WarnLevel, "order without certain effect", "The order was not run, or its answer was lost; the engine's state is read and what is missing ordered again.")
	OrderBarrier    = declare(5013, log.DebugLevel, "earlier orders barred", "A new holder's first, empty order was taken by the engine; no earlier holder's order takes effect there any more.")
	FencingOutdated = declare(5014, log.WarnLevel, "fencing number outdated", "An engine reports a higher fencing number than this holder's, which is raised with the next renewal. If another controller does not hold the lease, look whether the object API was restored from a copy.")

	EngineSilent  = declare(5020, log.WarnLevel, "engine does not answer", "The engine's status could not be read several times; its models go to other engines.")
	EngineAnswers = declare(5021, log.InfoLevel, "engine answers again", "The engine's status can be read again.")
	EngineReset   = declare(5022, log.WarnLevel, "engine forgot its orders", "The engine no longer reports this holder's last order, as after a restart; what it lacks is ordered again.")
	ModelAbsent   = declare(5023, log.ErrorLevel, "model on no engine", "No live engine of the data centre serves the model in any version. Expected while it is loaded for the first time; otherwise look for dead engines and refused loads.")
	ModelServed   = declare(5024, log.InfoLevel, "model served", "A model that no engine served is on one now.")

	ControllerConfigured          = declare(5030, log.InfoLevel, "configuration taken", "Orders follow the version named.")
	ControllerConfigurationUnread = declare(5031, log.WarnLevel, "configuration not read", "The configuration could not be read; without a recent reading no orders are given.")
	ControllerHostListUnread      = declare(5032, log.WarnLevel, "list of hosts not read", "The platform's list of hosts could not be read; the engines of the last one are kept.")
)
