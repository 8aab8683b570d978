package experiment

import (
	"flag"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// Flags of TestLongRun, which CI does not run:
//
//	go test ./internal/configuration/experiment -run TestLongRun -v -args -hosts 470
var (
	hostsFlag   = flag.Int("hosts", 0, "hosts of a long run; 0 for none")
	seedFlag    = flag.Uint64("seed", 1, "seed of a long run")
	lengthFlag  = flag.Duration("length", time.Minute, "virtual time of a long run")
	changesFlag = flag.Int("changes", 10, "accepted changes in a long run")
	digestFlag  = flag.Duration("digest", time.Second, "time between two digests of a host in a long run")
	naiveFlag   = flag.Bool("naive", false, "let every host watch")
)

// TestLongRun carries out one run with the size given by flags and logs its
// result. It does nothing unless -hosts is set.
func TestLongRun(t *testing.T) {
	if *hostsFlag == 0 {
		return
	}
	o := DefaultOptions(*hostsFlag, *seedFlag)
	o.Duration, o.Changes, o.DigestInterval = *lengthFlag, *changesFlag, *digestFlag
	if *naiveFlag {
		o.NewFollower = func(c configuration.Config) Follower {
			c.Watchers = o.Hosts
			return configuration.New(c)
		}
	}
	r := measure(t, o)
	t.Logf("%+v", r)
	if broken := brokenBounds(r, inForceLimitLarge); len(broken) > 0 && !*naiveFlag {
		t.Error(broken)
	}
}
