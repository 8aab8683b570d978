package router

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// Roles in the platform's list. Hosts of all other roles are plain services.
const (
	roleEntry  = "entry"
	roleEngine = "engine"
)

// upstreamList holds the entries of the platform's list that are upstreams, by
// name.
type upstreamList map[string]platform.Host

// applyHostList passes the platform's list on: the entry hosts to the
// membership core, the upstreams to the dispatch core and to the probes.
func (c *Core) applyHostList(now time.Duration, e HostsListed) {
	var entryHosts []membership.ListedHost
	upstreams := make(upstreamList)
	for _, h := range e.Hosts {
		if h.Role == roleEntry {
			entryHosts = append(entryHosts, membership.ListedHost{Name: h.Name, DataCentre: h.DataCentre, Address: h.Address})
			continue
		}
		upstreams[h.Name] = h
	}
	c.applyMembershipEffects(now, c.members.Step(now, membership.HostsListed{Hosts: entryHosts}))
	c.applyUpstreamList(now, upstreams)
}

// applyUpstreamList replaces the list of upstreams, and the set of upstreams to
// probe if the list has changed.
func (c *Core) applyUpstreamList(now time.Duration, upstreams upstreamList) {
	if !c.upstreamsKnown {
		c.upstreamsKnown = true
		c.emit(UpstreamsKnown{})
	}
	if c.updateDispatchUpstreams(now, upstreams) {
		c.emit(ProbeUpstreams{Targets: c.probeTargets()})
	}
}

// updateDispatchUpstreams reports new, changed and removed upstreams to the
// dispatch core. It returns whether there were any.
func (c *Core) updateDispatchUpstreams(now time.Duration, upstreams upstreamList) bool {
	changed := false
	for _, name := range sortedNames(upstreams) {
		h := upstreams[name]
		if c.upstreams[name] == h {
			continue
		}
		changed = true
		c.stepDispatch(now, dispatch.UpstreamListed{
			Name:       h.Name,
			Address:    h.Address,
			DataCentre: h.DataCentre,
			Service:    serviceName(h),
			Leaving:    h.Leaving,
		})
	}
	for _, name := range sortedNames(c.upstreams) {
		if _, stillListed := upstreams[name]; !stillListed {
			changed = true
			c.stepDispatch(now, dispatch.UpstreamUnlisted{Name: name})
		}
	}
	c.upstreams = upstreams
	return changed
}

// serviceName returns the name of the plain service that an upstream runs; it
// is empty for an engine.
func serviceName(h platform.Host) string {
	if h.Role == roleEngine {
		return ""
	}
	return h.Service
}

// probeTargets returns the upstreams to probe: all of this data centre, and
// from every other data centre remoteTargetsPerKind of each kind. The remote
// ones take over when no upstream of this data centre is left. Different hosts
// choose different remote upstreams, by rendezvous hashing.
func (c *Core) probeTargets() []Target {
	targets := make([]Target, 0, len(c.upstreams))
	remote := make(map[remoteUpstreamKind][]platform.Host)
	for _, name := range sortedNames(c.upstreams) {
		h := c.upstreams[name]
		if h.DataCentre == c.cfg.Dispatch.DataCentre {
			targets = append(targets, Target{Name: h.Name, Address: h.Address, Service: serviceName(h)})
			continue
		}
		kind := remoteUpstreamKind{dataCentre: h.DataCentre, service: serviceName(h)}
		remote[kind] = append(remote[kind], h)
	}
	for _, h := range c.chooseRemoteUpstreams(remote) {
		targets = append(targets, Target{Name: h.Name, Address: h.Address, Service: serviceName(h), Remote: true})
	}
	return targets
}

// remoteTargetsPerKind is the number of upstreams of each kind that a host
// probes in another data centre.
const remoteTargetsPerKind = 2

// remoteUpstreamKind identifies the upstreams of one data centre that can stand
// in for each other; service is empty for engines.
type remoteUpstreamKind struct {
	dataCentre string
	service    string
}

// chooseRemoteUpstreams returns, for each kind, the remoteTargetsPerKind
// upstreams with the greatest rendezvous weight for this host. The result is
// ordered by name.
func (c *Core) chooseRemoteUpstreams(candidates map[remoteUpstreamKind][]platform.Host) []platform.Host {
	var chosen []platform.Host
	for _, list := range candidates {
		slices.SortFunc(list, func(a, b platform.Host) int {
			return cmp.Compare(c.rendezvousWeight(b.Name), c.rendezvousWeight(a.Name))
		})
		chosen = append(chosen, list[:min(remoteTargetsPerKind, len(list))]...)
	}
	slices.SortFunc(chosen, func(a, b platform.Host) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// rendezvousWeight hashes the names of this host and of an upstream together,
// so that every host orders the upstreams differently.
func (c *Core) rendezvousWeight(upstream string) uint64 {
	return xxhash.Sum64String(c.cfg.Dispatch.Host + "\x00" + upstream)
}

// sortedNames returns the names in order, so that the same list always gives
// the same sequence of events.
func sortedNames(l upstreamList) []string {
	names := make([]string, 0, len(l))
	for name := range l {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
