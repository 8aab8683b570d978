// Package engine is a stand-in for a model engine. It serves the protocol of
// docs/ENGINES.md on top of the simulation in package batch, and injects faults
// on request. One process can run many engines, each on its own port.
package engine

import (
	"net"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// Config holds the settings of one stand-in engine.
type Config struct {
	// Name identifies the engine in logs and counters.
	Name string
	// Address is the ip:port on which the engine listens; port 0 selects a free
	// port.
	Address string
	// Models lists the models that are loaded at the start, as "model@version"
	// or "model@version+adapter".
	Models []string
	// Batch holds the parameters of the simulation, in unscaled time.
	Batch batch.Config
	// Scale divides the durations of steps, model loads, reports and events. A
	// higher value runs faster than real time and needs more processor time.
	Scale float64
	// ReportEvery is the interval at which the load report is refreshed, and
	// therefore the greatest age of a report.
	ReportEvery time.Duration
	// ModelLoadTime is the time that loading one model takes.
	ModelLoadTime time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is lower
	// than one it has seen.
	ChecksFencing bool
	// ReleaseAtDeadline makes the engine fail work items by itself when their
	// deadline has passed. Without it, only a cancel releases their memory.
	ReleaseAtDeadline bool
	// Log receives the engine's log events; nil discards them.
	Log log.Interface
}

// DefaultConfig returns the settings of an engine with the defaults of
// docs/ENGINES.md.
func DefaultConfig() Config {
	return Config{
		Name:          "engine-1",
		Address:       "127.0.0.1:0",
		Batch:         batch.DefaultConfig(),
		Scale:         1,
		ReportEvery:   250 * time.Millisecond,
		ModelLoadTime: 4 * time.Second,
		ChecksFencing: true,
	}
}

// Validate returns a finding for every invalid field.
func (c Config) Validate() finding.List {
	l := c.Batch.Validate()
	if c.Name == "" {
		l.Add("Name", "must not be empty")
	}
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		l.Add("Address", "must be ip:port")
	}
	if c.Scale <= 0 {
		l.Add("Scale", "must be above 0")
	}
	if c.ReportEvery <= 0 {
		l.Add("ReportEvery", "must be above 0")
	}
	if c.ModelLoadTime < 0 {
		l.Add("ModelLoadTime", "must not be negative")
	}
	return l
}

// scaled returns the configuration with all simulated durations converted to
// wall-clock time.
func (c Config) scaled() Config {
	c.Batch.BaseStep = divideByScale(c.Batch.BaseStep, c.Scale)
	c.Batch.EventDelay = divideByScale(c.Batch.EventDelay, c.Scale)
	c.Batch.PrefillRate *= c.Scale
	c.ReportEvery = max(time.Millisecond, divideByScale(c.ReportEvery, c.Scale))
	c.ModelLoadTime = divideByScale(c.ModelLoadTime, c.Scale)
	return c
}

// divideByScale converts a simulated duration to wall-clock time.
func divideByScale(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) / scale)
}
