package order

import (
	"slices"
	"strings"

	"github.com/chestnutline/chestnutline/intent"
)

// DesiredState is what a configuration wants of one data centre's engines.
type DesiredState struct {
	// Version is the configuration's version.
	Version uint64
	// Managed says that the configuration declares the data centre. The
	// engines of one that it does not declare are left alone.
	Managed bool
	Models  []Model
	// ChecksFencing lists the engines that refuse old fencing numbers.
	ChecksFencing []string
}

// Model is one model wanted in the data centre.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// MinEngines is the least number of engines; 0 means all.
	MinEngines int
	// names is what held returns.
	names []string
}

// DesiredStateFor returns what a configuration wants of a data centre.
func DesiredStateFor(dataCentre string, version uint64, c intent.Configuration) DesiredState {
	d := DesiredState{Version: version, ChecksFencing: slices.Clone(c.Orders.ChecksFencing)}
	slices.Sort(d.ChecksFencing)
	d.Managed = slices.ContainsFunc(c.DataCentres, func(dc intent.DataCentre) bool { return dc.Name == dataCentre })
	for _, m := range c.Models {
		for _, p := range m.Placements {
			if p.DataCentre == dataCentre {
				wanted := Model{Name: m.Name, Version: m.Version, Adapters: slices.Clone(m.Adapters), MinEngines: p.Engines}
				wanted.names = wanted.held()
				d.Models = append(d.Models, wanted)
			}
		}
	}
	slices.SortFunc(d.Models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	return d
}

// base is the name under which engines hold the model itself.
func (m Model) base() string {
	if m.names != nil {
		return m.names[0]
	}
	return m.Name + "@" + m.Version
}

// held lists the names under which engines hold the model and its adapters,
// the model first.
func (m Model) held() []string {
	if m.names != nil {
		return m.names
	}
	names := []string{m.base()}
	for _, a := range m.Adapters {
		names = append(names, m.base()+"+"+a)
	}
	return names
}

// find returns the wanted model of a name.
func (d DesiredState) find(name string) (Model, bool) {
	i, found := slices.BinarySearchFunc(d.Models, name, func(m Model, n string) int { return strings.Compare(m.Name, n) })
	if !found {
		return Model{}, false
	}
	return d.Models[i], true
}

// split takes a held name apart: the model's name, its version, and the
// adapter, empty for the model itself.
func split(held string) (name, version, adapter string) {
	name, rest, _ := strings.Cut(held, "@")
	version, adapter, _ = strings.Cut(rest, "+")
	return name, version, adapter
}
