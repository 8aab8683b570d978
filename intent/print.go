package intent

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Print writes the configuration as JSON in its canonical order, so that the
// same declarations give the same bytes in whatever order they were made. It
// refuses a configuration with findings; the error lists all of them.
func (c Configuration) Print(w io.Writer) error {
	if err := finding.List(c.Check()).Err(); err != nil {
		return err
	}
	body, err := json.MarshalIndent(c.Canonical(), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	_, err = w.Write(append(body, '\n'))
	return errors.Wrap(err, "write the configuration")
}

// Canonical returns a deep copy of the configuration with every list sorted by name.
func (c Configuration) Canonical() Configuration {
	models := sortedByName(c.Models, func(m Model) string { return m.Name })
	for i, m := range models {
		models[i].Adapters = sortedNames(m.Adapters)
		models[i].Placements = sortedByName(m.Placements, func(p Placement) string { return p.DataCentre })
	}
	organisations := sortedByName(c.Organisations, func(o Organisation) string { return o.Name })
	for i, o := range organisations {
		organisations[i].Models = sortedNames(o.Models)
		organisations[i].Kinds = sortedNames(o.Kinds)
	}
	return Configuration{
		DataCentres:   sortedByName(c.DataCentres, func(d DataCentre) string { return d.Name }),
		Models:        models,
		Services:      sortedByName(c.Services, func(s Service) string { return s.Name }),
		Kinds:         sortedByName(c.Kinds, func(k Kind) string { return k.Name }),
		Organisations: organisations,
		Orders:        Orders{ChecksFencing: sortedNames(c.Orders.ChecksFencing)},
	}
}

// sortedByName returns a copy of the list, sorted by the name of its elements.
// The copy is never nil, so that JSON shows an empty list as [].
func sortedByName[T any](all []T, name func(T) string) []T {
	result := append([]T{}, all...)
	slices.SortFunc(result, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return result
}

// sortedNames returns a sorted copy of the names. It returns nil for an empty
// list, which the JSON form leaves out.
func sortedNames(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	return sortedByName(names, func(s string) string { return s })
}
