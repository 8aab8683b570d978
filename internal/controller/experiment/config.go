package experiment

import (
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/controller"
)

// Config describes one run.
type Config struct {
	Seed       uint64
	Candidates int
	Engines    int
	// Elsewhere is how many entries of other data centres the list of hosts has.
	Elsewhere int
	// ChecksFencing makes the engines refuse old fencing numbers.
	ChecksFencing bool
	// Length is how long faults and changes go on; Settle follows without any.
	Length, Settle time.Duration
	// LoadTime is how long an engine loads one name.
	LoadTime time.Duration
	// Configurations come into force one after another, spread over Length.
	Configurations []intent.Configuration
	// Preloaded is what the engines hold at first.
	Preloaded []string
	Faults    Faults
	// Delay bounds one way of a call to the object API or an engine.
	Delay time.Duration
	// Timeout is when a call to the object API is given up.
	Timeout time.Duration
	// New makes a controller; nil for the real one.
	New func(controller.Config) *controller.Core
	// Adjust changes the controllers' configuration; nil for none.
	Adjust func(*controller.Config)
}

// Faults are the troubles of a run; each interval is a mean, 0 for never.
type Faults struct {
	// Lose is the probability that a request is lost, and that an answer is;
	// Late that a request takes up to LateTime.
	Lose, Late float64
	LateTime   time.Duration
	// LateOrders is the probability that an order to an engine takes up to
	// LateTime, and PauseBeforeSend that a host is paused between its last
	// look at the lease and the sending of an order.
	LateOrders, PauseBeforeSend float64
	// PauseInWrite is the probability that a host is paused while its write
	// of the lease is under way.
	PauseInWrite float64
	// DownEvery and DownFor give outages of the object API.
	DownEvery, DownFor time.Duration
	// PauseEvery and PauseFor stop one host.
	PauseEvery, PauseFor time.Duration
	// KillEvery restarts one host, EngineDieEvery one engine, empty, after
	// EngineDeadFor.
	KillEvery                     time.Duration
	EngineDieEvery, EngineDeadFor time.Duration
	// Drift is the most by which a host's clock runs fast or slow.
	Drift float64
}

// DefaultConfig returns a run without faults.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Candidates: 4, Engines: 6, ChecksFencing: true,
		Length: 2 * time.Minute, Settle: 2 * time.Minute, LoadTime: 2 * time.Second,
		Configurations: []intent.Configuration{Configuration("1", 0)},
		Delay:          5 * time.Millisecond, Timeout: 2 * time.Second,
	}
}

// dataCentre is where everything runs.
const dataCentre = "dc"

// Configuration declares two models with one version, placed on the number of
// engines given, 0 for all.
func Configuration(version string, engines int) intent.Configuration {
	c := intent.New()
	c.AddDataCentres("region", dataCentre)
	c.AddModel(
		intent.NewModel("judge", version, 1000).WithAdapters("a").PlacedIn(dataCentre, engines),
		intent.NewModel("desk", version, 1000).PlacedIn(dataCentre, max(1, engines/2)),
	)
	return *c
}
