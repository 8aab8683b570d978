package callers

import (
	"slices"

	"github.com/chestnutline/chestnutline/intent"
)

// Catalogue is a configuration indexed for checking requests.
type Catalogue struct {
	// Version is the configuration's version.
	Version       uint64
	models        map[string]intent.Model
	services      map[string]bool
	kinds         map[string]intent.Kind
	organisations map[string]intent.Organisation
}

// NewCatalogue indexes a configuration.
func NewCatalogue(version uint64, cfg *intent.Configuration) *Catalogue {
	c := &Catalogue{
		Version:       version,
		models:        make(map[string]intent.Model, len(cfg.Models)),
		services:      make(map[string]bool, len(cfg.Services)),
		kinds:         make(map[string]intent.Kind, len(cfg.Kinds)),
		organisations: make(map[string]intent.Organisation, len(cfg.Organisations)),
	}
	for _, m := range cfg.Models {
		c.models[m.Name] = m
		for _, a := range m.Adapters {
			c.models[m.Name+"+"+a] = m
		}
	}
	for _, s := range cfg.Services {
		c.services[s.Name] = true
	}
	for _, k := range cfg.Kinds {
		c.kinds[k.Name] = k
	}
	for _, o := range cfg.Organisations {
		c.organisations[o.Name] = o
	}
	return c
}

// engineModel is the name under which engines hold what a caller asks for:
// "name@version" or "name@version+adapter".
func engineModel(asked string, m intent.Model) string {
	name := m.Name + "@" + m.Version
	if adapter := asked[len(m.Name):]; adapter != "" {
		name += adapter
	}
	return name
}

func allowed(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
