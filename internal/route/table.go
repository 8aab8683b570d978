package route

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a request in one version of the configuration. It
// does not change once built, so it may be used concurrently.
type Table struct {
	// Version is the version of the declaration.
	Version uint64
	// Limits bounds what callers may send.
	Limits Limits

	// routesByHost holds the routes of each host name, those with longer
	// prefixes first.
	routesByHost map[string][]*Route
	// services holds the declared services by name.
	services map[string]*Service
	// organisationsByKey maps each API key to the organisation that holds it.
	organisationsByKey map[string]*Organisation
	// requiresKey is set when the configuration declares organisations.
	requiresKey bool
}

// NewTable returns the table of a declaration. The table refers to the
// declaration's slices, which must not be changed afterwards.
func NewTable(d Declaration) *Table {
	t := &Table{
		Version:            d.Version,
		Limits:             d.Limits,
		routesByHost:       make(map[string][]*Route),
		services:           make(map[string]*Service, len(d.Services)),
		organisationsByKey: make(map[string]*Organisation),
		requiresKey:        len(d.Organisations) > 0,
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			t.organisationsByKey[key] = &d.Organisations[i]
		}
	}
	return t
}

// Find returns the route with the given host name whose prefix is the longest
// that the path starts with, or nil if there is none. The path is compared as
// it was sent, without percent-decoding.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationOfKey returns the organisation that holds an API key, or nil if
// none does.
func (t *Table) OrganisationOfKey(key string) *Organisation {
	return t.organisationsByKey[key]
}

// RequiresKey reports whether requests need an API key at all.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Service returns the declared service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Services returns the declared services in the order of their names.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// ChooseService returns the name of the service that answers a request, in
// proportion to the declared weights. It hashes the request's id, so that the
// same id gets the same service as long as the weights are the same. It returns
// an empty string if the route has no shares.
func (r *Route) ChooseService(requestID string) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	const hashRange = float64(1 << 32)
	position := float64(uint32(xxhash.Sum64String(requestID))) / hashRange * total
	for _, s := range r.Shares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
