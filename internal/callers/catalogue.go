package callers

import (
	"slices"

	"github.com/chestnutline/chestnutline/intent"
)

// Catalogue is a configuration with indexes by name, against which requests are
// checked.
type Catalogue struct {
	// Version is the version of the configuration.
	Version       uint64
	models        map[string]intent.Model
	services      map[string]bool
	kinds         map[string]intent.Kind
	organisations map[string]intent.Organisation
}

// NewCatalogue builds the indexes of a configuration. A model is indexed by its
// name and by "name+adapter" for each adapter.
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

// engineModelName returns the name under which engines know the model that a
// caller requested: "name@version" or "name@version+adapter".
func engineModelName(requestedName string, m intent.Model) string {
	name := m.Name + "@" + m.Version
	if adapter := requestedName[len(m.Name):]; adapter != "" {
		name += adapter
	}
	return name
}

// isAllowed reports whether the list contains the name; an empty list allows
// every name.
func isAllowed(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
