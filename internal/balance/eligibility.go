package balance

import (
	"slices"
	"time"
)

// Exclusion names the reason why a server may not get a request; empty if it may.
type Exclusion string

// The exclusions. The first three hold until the configuration, the operator or the server
// changes something; the others pass by themselves.
const (
	// ExcludedLeaving means that the server takes no new requests.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedEvacuated means that the operator has taken the server's data centre out of
	// service.
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedRegion means that the request may not be served in the server's region.
	ExcludedRegion Exclusion = "region"
	// ExcludedAvoided means that requests have shown the server to be in trouble.
	ExcludedAvoided Exclusion = "avoided"
	// ExcludedPath means that this host does not reach the server's data centre.
	ExcludedPath Exclusion = "path"
	// ExcludedResting means that the server has asked this host for rest.
	ExcludedResting Exclusion = "resting"
	// ExcludedLimit means that the server names a limit and has no place for the request yet.
	ExcludedLimit Exclusion = "limit"
	// ExcludedCold means that the server is cold and this host has no share left of what it
	// bears.
	ExcludedCold Exclusion = "cold"
	// ExcludedByAsker means that the host that asks for the choice can't use the server.
	ExcludedByAsker Exclusion = "asker"
)

// barred returns why a server may get nothing of a request until the operator, the
// configuration or the server itself changes that; empty if it may.
func (c *Core) barred(u *upstream, r *request) Exclusion {
	switch {
	case !u.accepting():
		return ExcludedLeaving
	case !r.mayRunIn(u.Region):
		return ExcludedRegion
	case c.isEvacuated(u.DataCentre):
		return ExcludedEvacuated
	default:
		return ""
	}
}

// exclusionOf returns why a server may not get a request now; empty if it may. Every choice
// of servers asks it.
func (c *Core) exclusionOf(u *upstream, r *request, now time.Duration) Exclusion {
	if reason := c.barred(u, r); reason != "" {
		return reason
	}
	switch {
	case u.avoided(now):
		return ExcludedAvoided
	case c.path(u.DataCentre).cut:
		return ExcludedPath
	case u.intake.resting(now):
		return ExcludedResting
	case !c.admits(u, r, now):
		return ExcludedLimit
	case !c.admitsCold(u, now):
		return ExcludedCold
	case r.asker.avoids(u):
		return ExcludedByAsker
	default:
		return ""
	}
}

// explain returns the same for logs and dumps. It draws no random numbers, which a limit needs.
func (c *Core) explain(u *upstream, r *request, now time.Duration) Exclusion {
	unlimited := *u
	unlimited.intake.limit = 0
	reason := c.exclusionOf(&unlimited, r, now)
	if reason == "" && u.intake.admitsAt(now) > now {
		return ExcludedLimit
	}
	return reason
}

// excludedServers counts the servers that may not get a request now, by the reason.
func (c *Core) excludedServers(r *request, now time.Duration) map[Exclusion]int {
	counts := make(map[Exclusion]int)
	for _, u := range c.upstreamsOf(r.Service) {
		if reason := c.explain(u, r, now); reason != "" {
			counts[reason]++
		}
	}
	return counts
}

// mayRunIn reports whether a request may be served in a region. A server whose region is
// not known gets no request that is bound to regions.
func (r *request) mayRunIn(region string) bool {
	return r.Regions == nil || slices.Contains(r.Regions, region)
}

// closedBy returns why no server takes a request until the operator, the configuration or a
// server changes that; empty if some server does. A request that could be served but for
// an evacuation is closed by the evacuation.
func (c *Core) closedBy(r *request) Exclusion {
	closed := ExcludedLeaving
	for _, u := range c.upstreamsOf(r.Service) {
		switch reason := c.barred(u, r); reason {
		case "":
			return ""
		case ExcludedEvacuated:
			closed = reason
		case ExcludedRegion:
			if closed != ExcludedEvacuated {
				closed = reason
			}
		}
	}
	return closed
}

// codeOfExclusion returns the reason for the refusal of a request for which no server takes
// new work.
func codeOfExclusion(e Exclusion) ErrorCode {
	switch e {
	case ExcludedEvacuated:
		return CodeEvacuated
	case ExcludedRegion:
		return CodeNoRegion
	default:
		return CodeNoUpstream
	}
}
