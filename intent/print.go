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
// same intent gives the same bytes whatever the order of declaration. It
// refuses a configuration with findings; the error names all of them.
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

// Canonical returns a deep copy with every list ordered by name.
func (c Configuration) Canonical() Configuration {
	models := sorted(c.Models, func(m Model) string { return m.Name })
	for i, m := range models {
		models[i].Adapters = sortedNames(m.Adapters)
		models[i].Placements = sorted(m.Placements, func(p Placement) string { return p.DataCentre })
	}
	organisations := sorted(c.Organisations, func(o Organisation) string { return o.Name })
	for i, o := range organisations {
		organisations[i].Models = sortedNames(o.Models)
		organisations[i].Kinds = sortedNames(o.Kinds)
	}
	return Configuration{
		DataCentres:   sorted(c.DataCentres, func(d DataCentre) string { return d.Name }),
		Models:        models,
		Services:      sorted(c.Services, func(s Service) string { return s.Name }),
		Kinds:         sorted(c.Kinds, func(k Kind) string { return k.Name }),
		Organisations: organisations,
		Orders:        Orders{ChecksFencing: sortedNames(c.Orders.ChecksFencing)},
	}
}

func sorted[T any](all []T, name func(T) string) []T {
	result := append([]T{}, all...)
	slices.SortFunc(result, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return result
}

// sortedNames keeps nil for an empty list, which JSON leaves out.
func sortedNames(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	return sorted(names, func(s string) string { return s })
}
