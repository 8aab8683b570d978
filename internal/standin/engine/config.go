// Package engine is a stand-in for a model engine: it serves the protocol of
// docs/ENGINES.md over the simulated core of package batch, and fails on
// request. Many engines can run in one process, each on a port of its own.
package engine

import (
	"net"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// Config describes one stand-in engine.
type Config struct {
	// Name stands in logs and counters.
	Name string
	// Address is where the engine listens, ip:port; port 0 takes a free one.
	Address string
	// Models are loaded from the start, as "model@version" or "model@version+adapter".
	Models []string
	// Batch is the simulated core, in unscaled time.
	Batch batch.Config
	// Scale divides the durations of steps, model loads, reports and events.
	// Higher is faster than real time and needs more processor time.
	Scale float64
	// ReportEvery is the interval at which the load report is renewed; it is
	// the most a report lags.
	ReportEvery time.Duration
	// ModelLoadTime is how long an order to load one model takes.
	ModelLoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// ReleaseAtDeadline makes the engine fail works past their deadline by
	// itself. Off, only a cancel gives their memory back.
	ReleaseAtDeadline bool
	// Log receives events; nil for none.
	Log log.Interface
}

// DefaultConfig is an engine with the defaults of docs/ENGINES.md.
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

// Validate returns every problem.
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

// scaled returns the configuration in the time of the clock on the wall.
func (c Config) scaled() Config {
	c.Batch.BaseStep = shorten(c.Batch.BaseStep, c.Scale)
	c.Batch.EventDelay = shorten(c.Batch.EventDelay, c.Scale)
	c.Batch.PrefillRate *= c.Scale
	c.ReportEvery = max(time.Millisecond, shorten(c.ReportEvery, c.Scale))
	c.ModelLoadTime = shorten(c.ModelLoadTime, c.Scale)
	return c
}

func shorten(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) / scale)
}
