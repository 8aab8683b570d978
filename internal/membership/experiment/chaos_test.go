package experiment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	faultTestHosts       = 9
	faultTestDataCentres = 3
	faultTestSteps       = 25
)

// faultInjector applies random faults to a fleet and can remove all of them.
type faultInjector struct {
	*Fleet
	rng *rand.Rand
	// isolated holds the hosts that can reach no other host.
	isolated map[string]bool
	// partitionedDataCentre is the data centre that can reach no other one;
	// empty means none.
	partitionedDataCentre string
	// lastVersion is the highest configuration version passed to a host.
	lastVersion uint64
	// faultLog lists the faults for the message of a failed test.
	faultLog []string
}

func newFaultInjector(t *testing.T, seed uint64) *faultInjector {
	f, err := NewFleet(faultTestHosts, faultTestDataCentres, ProductConfig(), seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &faultInjector{Fleet: f, rng: rand.New(rand.NewPCG(seed, 7)), isolated: make(map[string]bool)}
	f.Partitioned = func(from, to *Node) bool {
		acrossDataCentres := from.Host.DataCentre != to.Host.DataCentre
		partitioned := acrossDataCentres && (from.Host.DataCentre == c.partitionedDataCentre || to.Host.DataCentre == c.partitionedDataCentre)
		return partitioned || c.isolated[from.Host.Name] || c.isolated[to.Host.Name]
	}
	return c
}

// injectFault applies or removes one random fault, or passes a new configuration
// version to a host.
func (c *faultInjector) injectFault(t *testing.T) {
	i := c.rng.IntN(faultTestHosts)
	node := c.nodesByAddress[c.HostList.Hosts[i].Address]
	name := node.Host.Name
	kind := c.rng.IntN(9)
	c.faultLog = append(c.faultLog, fmt.Sprintf("%v %d %s", c.Now(), kind, name))
	switch kind {
	case 0:
		node.Down = true
	case 1:
		c.restart(t, i)
	case 2:
		node.Paused = !node.Paused
	case 3:
		c.isolated[name] = !c.isolated[name]
	case 4:
		c.partitionedDataCentre = node.Host.DataCentre
	case 5:
		c.partitionedDataCentre = ""
	case 6:
		c.LossRate = 0.3 - c.LossRate
	case 7:
		c.Step(node, membership.Leave{})
	default:
		c.lastVersion++
		c.Step(node, membership.ConfigurationApplied{Version: c.lastVersion})
	}
}

func (c *faultInjector) restart(t *testing.T, i int) {
	if _, err := c.Start(i); err != nil {
		t.Fatal(err)
	}
}

// removeFaults removes all faults. It restarts the hosts that are down or
// leaving.
func (c *faultInjector) removeFaults(t *testing.T) {
	c.LossRate, c.partitionedDataCentre = 0, ""
	clear(c.isolated)
	for i, l := range c.HostList.Hosts {
		node := c.nodesByAddress[l.Address]
		node.Paused = false
		if node.Down || node.Core.Self().State != wire.Alive {
			c.restart(t, i)
		}
	}
}

// TestViewsAgreeAfterRandomFaults runs 40 random schedules of crashes, restarts,
// pauses, isolated hosts, partitioned data centres, message loss and leaving
// hosts. After each schedule all faults are removed, and every host must see the
// running hosts as alive and know the highest configuration version.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	const schedules = 40
	for seed := uint64(1); seed <= schedules; seed++ {
		c := newFaultInjector(t, seed)
		for range faultTestSteps {
			c.injectFault(t)
			c.Run(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
		}
		c.removeFaults(t)
		agreed := func() bool { return c.ViewsAgree() && lowestVersion(c.Fleet) == highestVersion(c.Fleet) }
		if took, ok := c.RunUntil(agreementTimeout, agreed); !ok {
			t.Errorf("seed %d: no agreement on members and version %v after the last fault; faults: %v", seed, took, c.faultLog)
		}
	}
}

// highestVersion returns the highest configuration version known to a running
// node.
func highestVersion(f *Fleet) uint64 {
	var highest uint64
	for _, node := range f.Running() {
		highest = max(highest, node.Core.ConfigVersion())
	}
	return highest
}
