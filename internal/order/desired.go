package order

import (
	"slices"
	"strings"

	"github.com/chestnutline/chestnutline/intent"
)

// DesiredState holds the models that a configuration demands of the engines of
// one data centre.
type DesiredState struct {
	// Version is the version of the configuration.
	Version uint64
	// Managed reports whether the configuration declares the data centre.
	// Nothing is loaded or unloaded in a data centre that is not declared.
	Managed bool
	// Models lists the models to be served in the data centre, sorted by name.
	Models []Model
	// ChecksFencing lists the names of the engines that refuse orders with an
	// old fencing number, sorted.
	ChecksFencing []string
}

// Model is one model that the data centre must serve.
type Model struct {
	// Name, Version and Adapters identify the model. An engine that serves it
	// must serve all of its adapters too.
	Name     string
	Version  string
	Adapters []string
	// MinEngines is the least number of engines that must serve the model; 0
	// means all engines.
	MinEngines int
	// cachedNames is the result of heldNames, or nil if it was not computed
	// yet.
	cachedNames []string
}

// DesiredStateFor returns the desired state of one data centre according to a
// configuration.
func DesiredStateFor(dataCentre string, version uint64, c intent.Configuration) DesiredState {
	d := DesiredState{Version: version, ChecksFencing: slices.Clone(c.Orders.ChecksFencing)}
	slices.Sort(d.ChecksFencing)
	d.Managed = slices.ContainsFunc(c.DataCentres, func(dc intent.DataCentre) bool { return dc.Name == dataCentre })
	for _, m := range c.Models {
		for _, p := range m.Placements {
			if p.DataCentre == dataCentre {
				model := Model{Name: m.Name, Version: m.Version, Adapters: slices.Clone(m.Adapters), MinEngines: p.Engines}
				model.cachedNames = model.heldNames()
				d.Models = append(d.Models, model)
			}
		}
	}
	slices.SortFunc(d.Models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	return d
}

// baseName returns the name under which engines report the model without
// adapters: name@version.
func (m Model) baseName() string {
	if m.cachedNames != nil {
		return m.cachedNames[0]
	}
	return m.Name + "@" + m.Version
}

// heldNames returns the names under which engines report the model and its
// adapters: name@version first, then name@version+adapter for each adapter.
func (m Model) heldNames() []string {
	if m.cachedNames != nil {
		return m.cachedNames
	}
	names := []string{m.baseName()}
	for _, a := range m.Adapters {
		names = append(names, m.baseName()+"+"+a)
	}
	return names
}

// findModel returns the desired model with the given name, and whether there is
// one.
func (d DesiredState) findModel(name string) (Model, bool) {
	i, found := slices.BinarySearchFunc(d.Models, name, func(m Model, n string) int { return strings.Compare(m.Name, n) })
	if !found {
		return Model{}, false
	}
	return d.Models[i], true
}

// splitHeldName splits a name that an engine reports into the model's name, its
// version and the adapter. The adapter is empty for the model itself.
func splitHeldName(held string) (name, version, adapter string) {
	name, rest, _ := strings.Cut(held, "@")
	version, adapter, _ = strings.Cut(rest, "+")
	return name, version, adapter
}
