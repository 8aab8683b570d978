package experiment

import (
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/controller"
)

// Config describes one simulation run.
type Config struct {
	// Seed seeds the generator of all random choices of the run.
	Seed uint64
	// Candidates is the number of controllers, each a candidate for the lease,
	// and Engines the number of engines.
	Candidates int
	Engines    int
	// Elsewhere is the number of entries of other data centres in the list of
	// hosts.
	Elsewhere int
	// ChecksFencing makes the engines refuse orders with old fencing numbers.
	ChecksFencing bool
	// FaultPhase is how long faults and configuration changes occur. QuietPhase
	// follows without any, so that the engines can reach the desired state.
	FaultPhase, QuietPhase time.Duration
	// LoadTime is how long an engine takes to load one model or adapter.
	LoadTime time.Duration
	// Configurations are accepted one after another, at even intervals over
	// FaultPhase. The first one is in force from the start.
	Configurations []intent.Configuration
	// Preloaded lists the names that every engine serves at the start.
	Preloaded []string
	// Faults are the faults that occur during FaultPhase.
	Faults Faults
	// MaxDelay bounds the normal delay, in one direction, of a call to the
	// object API or an engine.
	MaxDelay time.Duration
	// Timeout is the time after which a call to the object API is given up.
	Timeout time.Duration
	// NewController makes a controller; nil makes the real one.
	NewController func(controller.Config) *controller.Core
	// AdjustConfig changes the configuration of each controller; nil changes
	// nothing.
	AdjustConfig func(*controller.Config)
}

// Faults are the faults injected into a run. Each interval whose name ends
// in Every is the mean time between two such faults; 0 means never. Each probability is from 0
// to 1.
type Faults struct {
	// LossProbability is the probability that a request is lost, and also that
	// an answer is lost. LateProbability is the probability that a request to
	// the object API takes up to MaxLateDelay, and also that an answer of the
	// object API takes up to Config.Timeout.
	LossProbability, LateProbability float64
	MaxLateDelay                     time.Duration
	// LateOrderProbability is the probability that an order to an engine takes
	// up to MaxLateDelay. PauseBeforeSendProbability is the probability that a
	// host is paused after it has last checked the lease and before it sends an
	// order.
	LateOrderProbability, PauseBeforeSendProbability float64
	// PauseInWriteProbability is the probability that a host is paused while
	// its write of the lease is in flight.
	PauseInWriteProbability float64
	// OutageEvery is the mean time between outages of the object API, MaxOutage
	// the longest duration of one.
	OutageEvery, MaxOutage time.Duration
	// PauseEvery is the mean time between pauses of a random host, MaxPause the
	// longest duration of one.
	PauseEvery, MaxPause time.Duration
	// RestartEvery is the mean time between restarts of a random host.
	// EngineDeathEvery is the mean time between crashes of a random engine,
	// which comes back without models after at most MaxEngineDowntime.
	RestartEvery                        time.Duration
	EngineDeathEvery, MaxEngineDowntime time.Duration
	// MaxClockDrift is the largest share by which a host's clock runs fast or
	// slow.
	MaxClockDrift float64
}

// DefaultConfig returns the configuration of a run without faults.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Candidates: 4, Engines: 6, ChecksFencing: true,
		FaultPhase: 2 * time.Minute, QuietPhase: 2 * time.Minute, LoadTime: 2 * time.Second,
		Configurations: []intent.Configuration{Configuration("1", 0)},
		MaxDelay:       5 * time.Millisecond, Timeout: 2 * time.Second,
	}
}

// dataCentre is the name of the only simulated data centre.
const dataCentre = "dc"

// Configuration declares two models of one version: judge, with the adapter a, is
// placed on the given number of engines, where 0 means all, and desk on half that
// number, but at least on 1.
func Configuration(version string, engines int) intent.Configuration {
	c := intent.New()
	c.AddDataCentres("region", dataCentre)
	c.AddModel(
		intent.NewModel("judge", version, 1000).WithAdapters("a").PlacedIn(dataCentre, engines),
		intent.NewModel("desk", version, 1000).PlacedIn(dataCentre, max(1, engines/2)),
	)
	return *c
}
