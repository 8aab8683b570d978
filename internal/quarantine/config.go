package quarantine

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the settings of a Table.
type Config struct {
	// MinCrashes is the number of different servers that must have crashed under a
	// part. With a higher number fewer sound parts are quarantined by chance, and
	// more servers crash before a bad one is.
	MinCrashes int
	// MinSpan is the least time between the first and the last of these crashes.
	// Servers that crash together, with their rack for instance, crash within less.
	// A longer span tolerates slower common causes and lets more servers crash.
	MinSpan time.Duration
	// SoundMemory is how long an answer counts as evidence that the parts of its
	// prompt are sound. A longer time protects rare parts better; a shorter one lets
	// a part be found that begins to crash servers.
	SoundMemory time.Duration
	// CrashMemory is how long the crashes under a part are remembered. A longer time
	// finds parts that come rarely; a shorter one forgets independent crashes sooner.
	CrashMemory time.Duration
	// FirstHold is the time from the quarantine of a part to its first trial. Each
	// trial multiplies it by HoldFactor, up to MaxHold. Shorter holds end a wrong
	// quarantine sooner, and cost more servers under a right one.
	FirstHold, MaxHold time.Duration
	HoldFactor         int
	// IdleMemory is the time without any request with a part after which its
	// quarantine is forgotten.
	IdleMemory time.Duration
	// AnnounceInterval is the mean time between two announcements of a quarantine by
	// all hosts together, from which hosts learn that have started or were cut off.
	AnnounceInterval time.Duration
	// MaxParts bounds the parts for which crashes are remembered, and MaxSoundParts
	// those that are remembered as sound.
	MaxParts, MaxSoundParts int
}

// DefaultConfig returns settings for servers that are back some seconds after a
// crash, and hosts that hear of each other within tens of milliseconds.
func DefaultConfig() Config {
	return Config{
		MinCrashes: 3, MinSpan: 150 * time.Millisecond, SoundMemory: 10 * time.Second, CrashMemory: time.Minute,
		FirstHold: 30 * time.Second, MaxHold: 10 * time.Minute, HoldFactor: 4, IdleMemory: 10 * time.Minute,
		AnnounceInterval: time.Second, MaxParts: 512, MaxSoundParts: 16384,
	}
}

// Validate returns a finding for every setting that is not valid.
func (c Config) Validate() finding.List {
	var findings finding.List
	require := func(ok bool, place, problem string) {
		if !ok {
			findings.Add(place, problem)
		}
	}
	require(c.MinCrashes >= 2, "MinCrashes", "must be 2 or more")
	require(c.MinSpan >= 0, "MinSpan", "must not be negative")
	require(c.SoundMemory > 0, "SoundMemory", "must be above 0")
	require(c.CrashMemory > c.MinSpan, "CrashMemory", "must be above MinSpan")
	require(c.FirstHold > 0, "FirstHold", "must be above 0")
	require(c.MaxHold >= c.FirstHold, "MaxHold", "must be FirstHold or more")
	require(c.HoldFactor >= 1, "HoldFactor", "must be 1 or more")
	require(c.IdleMemory > 0, "IdleMemory", "must be above 0")
	require(c.AnnounceInterval > 0, "AnnounceInterval", "must be above 0")
	require(c.MaxParts > 0, "MaxParts", "must be above 0")
	require(c.MaxSoundParts > 0, "MaxSoundParts", "must be above 0")
	return findings
}

// hold returns the time until the next trial after the given number of trials.
func (c Config) hold(trials int) time.Duration {
	hold := c.FirstHold
	for range trials {
		if hold >= c.MaxHold {
			break
		}
		hold *= time.Duration(c.HoldFactor)
	}
	return min(hold, c.MaxHold)
}
