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

// Roles in the platform's list.
const (
	roleEntry  = "entry"
	roleEngine = "engine"
)

// listing is what the platform's list named last, by upstream.
type listing map[string]platform.Host

// hostsListed passes the platform's list on: entry hosts to membership,
// upstreams to dispatch and to the probes.
func (c *Core) hostsListed(now time.Duration, e HostsListed) {
	var entries []membership.ListedHost
	upstreams := make(listing)
	for _, h := range e.Hosts {
		if h.Role == roleEntry {
			entries = append(entries, membership.ListedHost{Name: h.Name, DataCentre: h.DataCentre, Address: h.Address})
			continue
		}
		upstreams[h.Name] = h
	}
	c.membershipEffects(now, c.members.Step(now, membership.HostsListed{Hosts: entries}))
	c.setUpstreams(now, upstreams)
}

// setUpstreams puts a list of upstreams in force.
func (c *Core) setUpstreams(now time.Duration, upstreams listing) {
	if !c.listed {
		c.listed = true
		c.emit(UpstreamsKnown{})
	}
	if c.listUpstreams(now, upstreams) {
		c.emit(ProbeUpstreams{Targets: c.targets()})
	}
}

// listUpstreams tells dispatch what is new, changed or gone.
func (c *Core) listUpstreams(now time.Duration, upstreams listing) bool {
	changed := false
	for _, name := range sortedNames(upstreams) {
		h := upstreams[name]
		if c.upstreams[name] == h {
			continue
		}
		changed = true
		c.dispatched(now, dispatch.UpstreamListed{
			Name:       h.Name,
			Address:    h.Address,
			DataCentre: h.DataCentre,
			Service:    serviceOf(h),
			Leaving:    h.Leaving,
		})
	}
	for _, name := range sortedNames(c.upstreams) {
		if _, still := upstreams[name]; !still {
			changed = true
			c.dispatched(now, dispatch.UpstreamUnlisted{Name: name})
		}
	}
	c.upstreams = upstreams
	return changed
}

// serviceOf names the plain service of an upstream, empty for an engine.
func serviceOf(h platform.Host) string {
	if h.Role == roleEngine {
		return ""
	}
	return h.Service
}

// targets are the upstreams to watch: all of this data centre, and of every
// other one farTargets of each kind, which take over when none is left here.
// Hosts choose different ones, by the weight of the pair of names.
func (c *Core) targets() []Target {
	targets := make([]Target, 0, len(c.upstreams))
	far := make(map[farKind][]platform.Host)
	for _, name := range sortedNames(c.upstreams) {
		h := c.upstreams[name]
		if h.DataCentre == c.cfg.Dispatch.DataCentre {
			targets = append(targets, Target{Name: h.Name, Address: h.Address, Service: serviceOf(h)})
			continue
		}
		kind := farKind{dataCentre: h.DataCentre, service: serviceOf(h)}
		far[kind] = append(far[kind], h)
	}
	for _, h := range c.chooseFar(far) {
		targets = append(targets, Target{Name: h.Name, Address: h.Address, Service: serviceOf(h), Remote: true})
	}
	return targets
}

// farTargets is the number of upstreams of each kind watched in another data centre.
const farTargets = 2

// farKind is a kind of upstream in another data centre; service is empty for engines.
type farKind struct {
	dataCentre string
	service    string
}

// chooseFar picks the upstreams of the greatest weight of each kind, ordered by name.
func (c *Core) chooseFar(far map[farKind][]platform.Host) []platform.Host {
	var chosen []platform.Host
	for _, list := range far {
		slices.SortFunc(list, func(a, b platform.Host) int {
			return cmp.Compare(c.weight(b.Name), c.weight(a.Name))
		})
		chosen = append(chosen, list[:min(farTargets, len(list))]...)
	}
	slices.SortFunc(chosen, func(a, b platform.Host) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

func (c *Core) weight(upstream string) uint64 {
	return xxhash.Sum64String(c.cfg.Dispatch.Host + "\x00" + upstream)
}

func sortedNames(l listing) []string {
	names := make([]string, 0, len(l))
	for name := range l {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
