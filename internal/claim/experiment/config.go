// Package experiment runs claims in simulated time: many hosts, each with its
// own shard.Core per object, one store with limits, delays and faults, and one
// upstream that counts executions. The same seed gives the same run. It serves
// the measurement of store calls against actions and the history checks.
package experiment

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// Config describes one run.
type Config struct {
	Seed  uint64
	Hosts int
	// Shards is the number of objects over which the keys of one window are spread.
	Shards int
	// WindowLength is the time of keys that one set of objects holds.
	WindowLength time.Duration
	// Slots is the number of windows in the ring of objects.
	Slots uint64
	// ArrivalDuration is how long new actions arrive.
	ArrivalDuration time.Duration
	// ActionsPerSecond arrive over all hosts at random times.
	ActionsPerSecond float64
	// Keys, if not 0, draws keys from this many, so that attempts collide.
	// Otherwise every action has a key of its own.
	Keys int
	// RepeatShare is the share of actions that are asked a second time, at any host.
	RepeatShare float64
	// RefuseShare is the share of granted actions that the upstream provably refuses.
	RefuseShare float64
	// LeaveShare is the share of callers that leave before Patience is over.
	LeaveShare float64
	// BodyBytes is the size of a recorded answer.
	BodyBytes int
	// Patience is how long a caller waits for a claim.
	Patience time.Duration
	// ActionTime is how long the upstream takes.
	ActionTime time.Duration
	// ForwardToOwner sends claims to one host per shard, Hop away, instead of having
	// every host write.
	ForwardToOwner bool
	Hop    time.Duration
	// MisrouteShare is the share of messages to a host that is not the owner.
	MisrouteShare float64
	Store         StoreConfig
	Faults        Faults
	// Core is the template of every core's configuration.
	Core shard.Config
	// NewEngine replaces shard.New in differential runs.
	NewEngine func(shard.Config) Engine
	// Record keeps the history.
	Record bool
}

// StoreConfig describes the simulated store.
type StoreConfig struct {
	// LatencyMin and LatencyMax bound one way of a call.
	LatencyMin time.Duration
	LatencyMax time.Duration
	// Timeout is when a host gives a call up as of unknown result.
	Timeout time.Duration
	// WritesPerSecond and ReadsPerSecond are the limits, 0 for none.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults are the probabilities of trouble.
type Faults struct {
	// LoseRequest and LoseAnswer are per store call.
	LoseRequest float64
	LoseAnswer  float64
	// Late is the probability that a request or an answer takes up to LateTime longer.
	Late     float64
	LateTime time.Duration
	// LoseHop and RepeatHop are per message between hosts; LateTime delays them as well.
	LoseHop   float64
	RepeatHop float64
	// DownEvery and DownFor give outages of the store.
	DownEvery time.Duration
	DownFor   time.Duration
	// PauseEvery and PauseFor stop one host at random.
	PauseEvery time.Duration
	PauseFor   time.Duration
	// KillEvery kills one host at random, which restarts with nothing.
	KillEvery time.Duration
}

// Engine is a shard.Core or a naive stand-in for one.
type Engine interface {
	Step(now time.Duration, event shard.Event) []shard.Effect
}

// DefaultConfig returns a run without faults at today's size.
func DefaultConfig() Config {
	core := shard.DefaultConfig()
	return Config{
		Seed: 1, Hosts: 8, Shards: 8, WindowLength: time.Minute, Slots: 1440,
		ArrivalDuration: 30 * time.Second, ActionsPerSecond: 50, RepeatShare: 0.02,
		BodyBytes: 64, Patience: 2 * time.Second, ActionTime: 50 * time.Millisecond,
		Hop: 4 * time.Millisecond, Core: core,
		Store: StoreConfig{
			LatencyMin: time.Millisecond, LatencyMax: 3 * time.Millisecond,
			Timeout: time.Second, WritesPerSecond: 500, ReadsPerSecond: 2000,
		},
	}
}
