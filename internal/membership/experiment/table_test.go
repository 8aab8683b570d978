package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
)

// BenchmarkTable prints the rows of the table in docs/design/006-membership.md,
// one for each policy and size. Running all of them takes a quarter of an hour.
func BenchmarkTable(b *testing.B) {
	const upstreams, requestsPerHost = 331, 333
	policies := []struct {
		name   string
		config membership.Config
		// oneDataCentre puts all hosts into one data centre.
		oneDataCentre bool
		// withLoads gives the hosts work in flight.
		withLoads bool
	}{
		{"fixed", FixedIntervalConfig(), true, false},
		{"scaled", ScaledIntervalConfig(), true, false},
		{"chosen", ProductConfig(), false, false},
		{"chosen-loads", ProductConfig(), false, true},
		{"counted-loads", HeaderOverheadConfig(), false, true},
	}
	sizes := []struct{ hosts, dataCentres, upstreams, requestsPerHost int }{
		{8, 3, 21, 30},
		{30, 1, upstreams, requestsPerHost},
		{120, 4, upstreams, requestsPerHost},
		{470, 16, upstreams, requestsPerHost},
	}
	fmt.Println()
	fmt.Println(TableHeader)
	for _, policy := range policies {
		for _, s := range sizes {
			o := Options{
				Hosts: s.hosts, DataCentres: s.dataCentres, Config: policy.config, Seed: 1,
				QuietDuration: 30 * time.Second, DeathCount: min(6, max(1, s.hosts/10)), OutcomeTimeout: 2 * time.Minute,
			}
			if policy.oneDataCentre {
				o.DataCentres = 1
			}
			if policy.name == "fixed" && s.hosts > 200 {
				o.SkipMassChanges, o.QuietDuration = true, 3*time.Second
			}
			if policy.withLoads {
				o.UpstreamsPerDataCentre, o.RequestsPerHost = s.upstreams, s.requestsPerHost
			}
			b.Run(fmt.Sprintf("%s/%d", policy.name, s.hosts), func(b *testing.B) { printRow(b, policy.name, o) })
		}
	}
}

func printRow(b *testing.B, policy string, o Options) {
	result, err := Measure(o)
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println()
	fmt.Println(TableRow(policy, result))
}
