package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
)

// BenchmarkTable prints the rows of docs/design/006-membership.md, one for
// each policy and size. All of them take a quarter of an hour.
func BenchmarkTable(b *testing.B) {
	const upstreams, inFlight = 331, 333
	policies := []struct {
		name  string
		cfg   membership.Config
		flat  bool
		loads bool
	}{
		{"fixed", Fixed(), true, false},
		{"scaled", Scaled(), true, false},
		{"chosen", Chosen(), false, false},
		{"chosen-loads", Chosen(), false, true},
		{"counted-loads", Counted(), false, true},
	}
	sizes := []struct{ hosts, dataCentres, upstreams, inFlight int }{
		{8, 3, 21, 30},
		{30, 1, upstreams, inFlight},
		{120, 4, upstreams, inFlight},
		{470, 16, upstreams, inFlight},
	}
	fmt.Println()
	fmt.Println(Header)
	for _, p := range policies {
		for _, s := range sizes {
			o := Options{
				Hosts: s.hosts, DataCentres: s.dataCentres, Config: p.cfg, Seed: 1,
				Quiet: 30 * time.Second, Deaths: min(6, max(1, s.hosts/10)), Limit: 2 * time.Minute,
			}
			if p.flat {
				o.DataCentres = 1
			}
			if p.name == "fixed" && s.hosts > 200 {
				o.Brief, o.Quiet = true, 3*time.Second
			}
			if p.loads {
				o.Upstreams, o.InFlight = s.upstreams, s.inFlight
			}
			b.Run(fmt.Sprintf("%s/%d", p.name, s.hosts), func(b *testing.B) { printRow(b, p.name, o) })
		}
	}
}

func printRow(b *testing.B, policy string, o Options) {
	result, err := Measure(o)
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println()
	fmt.Println(Row(policy, result))
}
