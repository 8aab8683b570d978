package experiment

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes and prints rapid's seed unless one is given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed:", seed.Value)
	os.Exit(m.Run())
}
