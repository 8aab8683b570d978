package registry

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed is the default seed of property-based tests, so that every run
// generates the same inputs. Set -rapid.seed for other inputs.
const rapidSeed = "1"

// TestMain sets the seed of property-based tests unless the command line gives
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
