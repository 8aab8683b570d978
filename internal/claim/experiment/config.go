// Package experiment simulates claims in simulated time: many hosts, each with
// its own shard.Core per object, one store with limits, delays and faults, and
// one upstream that counts executions. The same seed gives the same run. The
// simulation is used to measure how many store calls a rate of actions needs,
// and to check histories of claims under faults.
package experiment

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// Config describes one run of the simulation. A share is a fraction from 0 to 1.
type Config struct {
	// Seed determines all random choices.
	Seed uint64
	// Hosts is the number of hosts that receive requests.
	Hosts int
	// Shards is the number of objects over which the keys of one window are spread.
	Shards int
	// WindowLength is the length of a window; the keys dated in one window are
	// held in one set of objects.
	WindowLength time.Duration
	// Slots is the number of windows after which the same objects are used
	// again.
	Slots uint64
	// ArrivalDuration is the time during which new actions arrive.
	ArrivalDuration time.Duration
	// ActionsPerSecond is the mean rate of new actions over all hosts. They
	// arrive at random times.
	ActionsPerSecond float64
	// Keys, if not 0, is the number of keys from which each action draws one at
	// random, so that attempts collide. Otherwise every action has a key of its
	// own.
	Keys int
	// RepeatShare is the share of actions that are requested a second time, at
	// any host.
	RepeatShare float64
	// RefuseShare is the share of granted actions that the upstream provably
	// refuses, so that their claims are given back.
	RefuseShare float64
	// HangUpShare is the share of callers that hang up before ClaimTimeout is
	// over.
	HangUpShare float64
	// BodyBytes is the size of a recorded answer in bytes.
	BodyBytes int
	// ClaimTimeout is the time for which a caller waits for the answer to a
	// claim, and a host for the answer to a forwarded message.
	ClaimTimeout time.Duration
	// ActionTime is the maximum time of each step of an action: until it is
	// sent or its claim given back, until the upstream has run it, and until
	// its answer is recorded.
	ActionTime time.Duration
	// ForwardToOwner forwards claims to the one host that owns the shard,
	// instead of having every host write. HopLatency is the time that a message
	// between two hosts takes.
	ForwardToOwner bool
	HopLatency     time.Duration
	// MisrouteShare is the share of messages that are sent to a random host
	// instead of the owner.
	MisrouteShare float64
	Store         StoreConfig
	Faults        Faults
	// Core is the configuration of all cores; only the window differs.
	Core shard.Config
	// NewCore, if set, replaces shard.New, so that the checks can be run on a
	// faulty implementation.
	NewCore func(shard.Config) ClaimCore
	// RecordHistory keeps the history of all calls for the checks.
	RecordHistory bool
}

// StoreConfig describes the simulated store.
type StoreConfig struct {
	// LatencyMin and LatencyMax are the bounds of the latency of one direction
	// of a call.
	LatencyMin time.Duration
	LatencyMax time.Duration
	// Timeout is the time after which a host gives up a call, whose result is
	// then unknown.
	Timeout time.Duration
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults describes the faults that are injected: probabilities from 0 to 1, and
// the intervals and durations of outages, pauses and kills.
type Faults struct {
	// LoseRequest and LoseAnswer are the probabilities that the request or the
	// answer of a store call is lost.
	LoseRequest float64
	LoseAnswer  float64
	// Delay is the probability that a request or an answer takes up to MaxDelay
	// longer.
	Delay    float64
	MaxDelay time.Duration
	// LoseMessage and DuplicateMessage are the probabilities that a message
	// between hosts is lost or delivered twice. Delay and MaxDelay apply to
	// these messages as well.
	LoseMessage      float64
	DuplicateMessage float64
	// OutageInterval is the mean time between outages of the store, MaxOutage
	// the longest duration of one.
	OutageInterval time.Duration
	MaxOutage      time.Duration
	// PauseInterval is the mean time between pauses of one random host,
	// MaxPause the longest duration of one.
	PauseInterval time.Duration
	MaxPause      time.Duration
	// KillInterval is the mean time between kills of one random host, which
	// restarts at once without any state.
	KillInterval time.Duration
}

// ClaimCore is implemented by shard.Core and, in tests, by naive implementations
// in its place.
type ClaimCore interface {
	Step(now time.Duration, event shard.Event) []shard.Effect
}

// DefaultConfig returns the configuration of a run without faults at the present
// size of the system.
func DefaultConfig() Config {
	core := shard.DefaultConfig()
	return Config{
		Seed: 1, Hosts: 8, Shards: 8, WindowLength: time.Minute, Slots: 1440,
		ArrivalDuration: 30 * time.Second, ActionsPerSecond: 50, RepeatShare: 0.02,
		BodyBytes: 64, ClaimTimeout: 2 * time.Second, ActionTime: 50 * time.Millisecond,
		HopLatency: 4 * time.Millisecond, Core: core,
		Store: StoreConfig{
			LatencyMin: time.Millisecond, LatencyMax: 3 * time.Millisecond,
			Timeout: time.Second, WritesPerSecond: 500, ReadsPerSecond: 2000,
		},
	}
}
