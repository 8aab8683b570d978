package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
)

// BenchmarkTable prints the table of docs/design/006-membership.md. It takes
// some minutes.
func BenchmarkTable(b *testing.B) {
	type row struct {
		name              string
		policy            membership.Config
		hosts, sites      int
		upstreams, flight int
	}
	var rows []row
	for _, size := range []struct{ hosts, sites, upstreams, flight int }{{8, 3, 21, 30}, {30, 1, 331, 333}, {120, 4, 331, 333}, {470, 16, 331, 333}} {
		rows = append(rows,
			row{"fixed", Fixed(), size.hosts, 1, 0, 0},
			row{"scaled", Scaled(), size.hosts, 1, 0, 0},
			row{"chosen", Chosen(), size.hosts, size.sites, 0, 0},
			row{"chosen, loads", Chosen(), size.hosts, size.sites, size.upstreams, size.flight},
		)
	}
	fmt.Println()
	fmt.Println(Header)
	for _, r := range rows {
		quiet := 30 * time.Second
		if r.name == "fixed" && r.hosts > 200 {
			quiet = 3 * time.Second
		}
		result, err := Measure(Options{
			Hosts: r.hosts, DataCentres: r.sites, Config: r.policy, Seed: 1,
			Upstreams: r.upstreams, InFlight: r.flight, Quiet: quiet, Deaths: min(6, max(1, r.hosts/10)), Limit: 2 * time.Minute,
		})
		if err != nil {
			b.Fatal(err)
		}
		fmt.Println(Row(r.name, result))
	}
}
