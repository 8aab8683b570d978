package operate

import (
	"fmt"
	"slices"
	"strings"
)

// Rollout tells where a version is in force.
type Rollout struct {
	Version uint64 `json:"version"`
	// Everywhere says that every data centre has it on every host asked.
	Everywhere  bool                `json:"in_force_everywhere"`
	DataCentres []DataCentreRollout `json:"data_centres"`
}

// DataCentreRollout tells how far a version has come in one data centre.
type DataCentreRollout struct {
	DataCentre string `json:"data_centre"`
	// InForce counts the hosts that have the version or a newer one.
	InForce int `json:"hosts_in_force"`
	// Behind names the other hosts and what they have.
	Behind []string `json:"behind,omitempty"`
}

// notReached groups hosts whose data centre is not known.
const notReached = "(not reached)"

// EvaluateRollout tells where a version is in force, going by the hosts' statuses and
// the data centres declared. A host that could not be asked counts as behind,
// and so does a data centre of which no host was asked. Draining hosts that
// stop soon count like the others, since they still serve.
func EvaluateRollout(version uint64, declared []string, statuses []HostStatus) Rollout {
	f := Rollout{Version: version, Everywhere: true}
	byName := make(map[string]*DataCentreRollout)
	for _, name := range declared {
		byName[name] = &DataCentreRollout{DataCentre: name}
	}
	for _, s := range statuses {
		name := s.DataCentre
		if s.Error != "" {
			name = notReached
		}
		d := byName[name]
		if d == nil {
			d = &DataCentreRollout{DataCentre: name}
			byName[name] = d
		}
		d.add(version, s)
	}
	for _, d := range byName {
		if d.InForce == 0 && len(d.Behind) == 0 {
			d.Behind = []string{"no host of it was asked"}
		}
		f.Everywhere = f.Everywhere && len(d.Behind) == 0
		f.DataCentres = append(f.DataCentres, *d)
	}
	slices.SortFunc(f.DataCentres, func(a, b DataCentreRollout) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return f
}

func (d *DataCentreRollout) add(version uint64, s HostStatus) {
	switch {
	case s.Error != "":
		d.Behind = append(d.Behind, s.Address+": "+s.Error)
	case s.ConfigVersion >= version:
		d.InForce++
	default:
		d.Behind = append(d.Behind, fmt.Sprintf("%s has version %d", s.Host, s.ConfigVersion))
	}
}

// String describes the progress in one line.
func (f Rollout) String() string {
	places := make([]string, len(f.DataCentres))
	for i, d := range f.DataCentres {
		places[i] = fmt.Sprintf("%s %d/%d", d.DataCentre, d.InForce, d.InForce+len(d.Behind))
		if len(d.Behind) > 0 {
			places[i] += " (behind: " + strings.Join(d.Behind, "; ") + ")"
		}
	}
	return fmt.Sprintf("version %d: %s", f.Version, strings.Join(places, ", "))
}
