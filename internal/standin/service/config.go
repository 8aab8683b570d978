// Package service is a stand-in for the plain services: it serves the protocol
// of docs/ENGINES.md, counts every run of a call, and fails on request. It
// does not suppress repeated calls, so that a repetition shows in its counters.
package service

import (
	"net"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config describes one stand-in service.
type Config struct {
	// Name stands in logs and counters.
	Name string
	// Service is "case-record" or "order-app".
	Service string
	// Address is where the service listens, ip:port; port 0 takes a free one.
	Address string
	// LookupTime and ActionTime are how long a repeatable call and an action take.
	LookupTime time.Duration
	ActionTime time.Duration
	// Scale divides both times. Higher is faster than real time.
	Scale float64
	// Log receives events; nil for none.
	Log log.Interface
}

// DefaultConfig is a service that answers from its database.
func DefaultConfig() Config {
	return Config{
		Name:       "service-1",
		Service:    "case-record",
		Address:    "127.0.0.1:0",
		LookupTime: 5 * time.Millisecond,
		ActionTime: 20 * time.Millisecond,
		Scale:      1,
	}
}

// Validate returns every problem.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Name == "" {
		l.Add("Name", "must not be empty")
	}
	if kinds[c.Service] == nil {
		l.Add("Service", "must be case-record or order-app")
	}
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		l.Add("Address", "must be ip:port")
	}
	if c.LookupTime < 0 {
		l.Add("LookupTime", "must not be negative")
	}
	if c.ActionTime < 0 {
		l.Add("ActionTime", "must not be negative")
	}
	if c.Scale <= 0 {
		l.Add("Scale", "must be above 0")
	}
	return l
}

// kinds lists each service's kinds and whether they are actions.
var kinds = map[string]map[string]bool{
	"case-record": {"status": false, "takedown": true, "sanction": true},
	"order-app":   {"stock": false, "order": true},
}

// duration returns how long a call takes; false means that the kind is unknown.
func (c Config) duration(kind string) (time.Duration, bool) {
	action, known := kinds[c.Service][kind]
	d := c.LookupTime
	if action {
		d = c.ActionTime
	}
	return time.Duration(float64(d) / c.Scale), known
}
