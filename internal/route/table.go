package route

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a request in one version of the configuration.
type Table struct {
	// Version is the declaration's.
	Version uint64
	// Limits bound what callers may send.
	Limits Limits

	byHost   map[string][]*Route
	services map[string]*Service
	holders  map[string]*Organisation
	keyed    bool
}

// NewTable returns the table of a declaration.
func NewTable(d Declaration) *Table {
	t := &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
		holders:  make(map[string]*Organisation),
		keyed:    len(d.Organisations) > 0,
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			t.holders[key] = &d.Organisations[i]
		}
	}
	return t
}

// Find returns the route with the longest prefix of the path, or nil. The
// path is as sent, without decoding.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationOfKey returns the organisation that holds a key, or nil.
func (t *Table) OrganisationOfKey(key string) *Organisation {
	return t.holders[key]
}

// RequiresKey says whether requests need keys at all.
func (t *Table) RequiresKey() bool { return t.keyed }

// Service returns a declared service, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Services lists the declared services by name.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// ChooseService returns the service of a request by the declared weights. The same
// request id gets the same service as long as the weights are the same.
func (r *Route) ChooseService(requestID string) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	const hashRange = float64(1 << 32)
	point := float64(uint32(xxhash.Sum64String(requestID))) / hashRange * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
