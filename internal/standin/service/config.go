// Package service is a stand-in for the plain services, which run no model. It
// serves the protocol of docs/ENGINES.md, counts every run of a call, and
// injects faults on request. It does not suppress repeated calls, so that every
// repetition shows in its counters.
package service

import (
	"net"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the settings of one stand-in service.
type Config struct {
	// Name identifies the service in logs and counters.
	Name string
	// Service selects the service to simulate: "case-record" or "order-app".
	Service string
	// Address is the ip:port on which the service listens; port 0 selects a free
	// port.
	Address string
	// LookupTime and ActionTime are the durations of a call that may be repeated
	// and of an action, which may not, before scaling.
	LookupTime time.Duration
	ActionTime time.Duration
	// Scale divides both durations. A higher value runs faster than real time.
	Scale float64
	// Log receives the service's log events; nil discards them.
	Log log.Interface
}

// DefaultConfig returns the settings of a case-record service with the durations
// of a service that answers from its database.
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

// Validate returns a finding for every invalid field.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Name == "" {
		l.Add("Name", "must not be empty")
	}
	if isActionByService[c.Service] == nil {
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

// isActionByService lists the kinds of call of each service, and whether each
// kind is an action.
var isActionByService = map[string]map[string]bool{
	"case-record": {"status": false, "takedown": true, "sanction": true},
	"order-app":   {"stock": false, "order": true},
}

// callDuration returns how long a call of the kind takes, after scaling. It
// returns false if the service does not have the kind.
func (c Config) callDuration(kind string) (time.Duration, bool) {
	action, known := isActionByService[c.Service][kind]
	d := c.LookupTime
	if action {
		d = c.ActionTime
	}
	return time.Duration(float64(d) / c.Scale), known
}
