package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/callers"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/configuration/experiment"
)

var (
	followerSizes     = []int{6, 30, 120, targetNodes}
	organisationSizes = []int{10, 420, targetOrganisations}
)

// configurationFigures are the measurements of one node at the largest size
// measured.
type configurationFigures struct {
	propagation    experiment.Result
	storedBytes    int
	largestPart    int
	catalogueBytes int64
	decode         cost
}

func (r *measurementRun) addConfigurationTables() error {
	t := r.newTable("Configuration: spreading, ten changes in 50 s while a third of the hosts is replaced",
		"hosts", "data centres", "in force everywhere, longest", "median", "new host ready, longest", "store calls a second", "in the worst second", "bytes a second sent by a host")
	for _, hosts := range followerSizes {
		r.printProgress(fmt.Sprintf("configuration %d hosts", hosts))
		s, err := experiment.Measure(experiment.DefaultOptions(hosts, seed))
		if err != nil {
			return errors.Wrapf(err, "measure the configuration of %d hosts", hosts)
		}
		r.figures.configuration.propagation = s
		t.add(formatNumber(float64(hosts)), formatNumber(float64(s.DataCentres)), fmt.Sprintf("%.2f s", s.InForceSeconds), fmt.Sprintf("%.2f s", s.InForceMedianSeconds),
			fmt.Sprintf("%.2f s", s.ReadySeconds), formatNumber(s.StoreCallsPerSecond), formatNumber(float64(s.StoreCallsPeak)), formatNumber(s.BytesPerSecond))
	}
	return r.addCatalogueTable()
}

func (r *measurementRun) addCatalogueTable() error {
	t := r.newTable("Configuration: size",
		"organisations", "as JSON", "parts", "stored", "largest part", "kept by a node", "decoding and indexing")
	for _, n := range organisationSizes {
		r.printProgress(fmt.Sprintf("configuration of %d organisations", n))
		if err := r.measureCatalogue(t, n); err != nil {
			return err
		}
	}
	return nil
}

func (r *measurementRun) measureCatalogue(t *Table, organisations int) error {
	parts, text, err := encode(targetConfiguration(organisations))
	if err != nil {
		return err
	}
	m := configuration.Manifest{Format: configuration.CurrentFormat, Change: configuration.Change{Version: 1}}
	stored := make(map[string][]byte)
	bytes, largest := 0, 0
	for _, p := range parts {
		m.Parts = append(m.Parts, p.Hash)
		stored[p.Hash] = p.Bytes
		bytes += len(p.Bytes)
		largest = max(largest, len(p.Bytes))
	}
	build := func() (any, error) {
		c, err := configuration.Join(m, stored)
		return callers.NewCatalogue(1, &c), err
	}
	_, kept, err := heapGrowth(build)
	if err != nil {
		return err
	}
	decode := measure(func() { _, _ = build() }, nil)
	t.add(formatNumber(float64(organisations)), formatBytes(float64(text)), formatNumber(float64(len(parts))), formatBytes(float64(bytes)), formatBytes(float64(largest)),
		formatBytes(float64(kept)), formatDuration(decode.cpu))
	f := &r.figures.configuration
	f.storedBytes, f.largestPart, f.catalogueBytes, f.decode = bytes, largest, kept, decode
	return nil
}

// encode returns the stored parts of a configuration and the length of its JSON
// text in bytes.
func encode(c intent.Configuration) (parts []configuration.Part, text int, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode a configuration")
	}
	parts, err = configuration.Split(c)
	return parts, len(body), err
}

// targetConfiguration returns a configuration with the models and data centres of
// the target size, and the given number of organisations.
func targetConfiguration(organisations int) intent.Configuration {
	var c intent.Configuration
	for i := range targetDataCentres {
		c.DataCentres = append(c.DataCentres, intent.DataCentre{Name: fmt.Sprintf("dc-%02d", i), Region: fmt.Sprintf("region-%d", i%7)})
	}
	for i := range targetModels {
		m := intent.Model{Name: fmt.Sprintf("model-%02d", i), Version: "1", Adapters: []string{"short", "long"}, MaxPromptTokens: 1_000_000}
		for _, dc := range c.DataCentres {
			m.Placements = append(m.Placements, intent.Placement{DataCentre: dc.Name, Engines: 10})
		}
		c.Models = append(c.Models, m)
	}
	for i := range 8 {
		c.Kinds = append(c.Kinds, intent.Kind{Name: fmt.Sprintf("kind-%d", i), Priority: i, Weight: 1, DefaultLimitMillis: 30_000, MaxLimitMillis: 600_000})
	}
	for i := range organisations {
		o := intent.Organisation{Name: fmt.Sprintf("organisation-%04d", i), Share: float64(1 + i%9), MaxInFlight: 50 + i%50}
		for j := range 3 {
			o.Models = append(o.Models, c.Models[(i+7*j)%targetModels].Name)
			o.Kinds = append(o.Kinds, c.Kinds[(i+3*j)%len(c.Kinds)].Name)
		}
		c.Organisations = append(c.Organisations, o)
	}
	return c
}
