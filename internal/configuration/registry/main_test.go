package registry

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes generated runs the same every time; set -rapid.seed for others.
const rapidSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
