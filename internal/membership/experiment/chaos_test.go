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
	chaosHosts = 9
	chaosSites = 3
	chaosSteps = 25
)

// chaos applies drawn faults to a fleet and can undo all of them.
type chaos struct {
	*Fleet
	rng      *rand.Rand
	lone     map[string]bool
	cutOff   string
	versions uint64
	faults   []string
}

func newChaos(t *testing.T, seed uint64) *chaos {
	f, err := NewFleet(chaosHosts, chaosSites, Chosen(), seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &chaos{Fleet: f, rng: rand.New(rand.NewPCG(seed, 7)), lone: make(map[string]bool)}
	f.Separated = func(from, to *Node) bool {
		apart := from.Host.DataCentre != to.Host.DataCentre
		cut := apart && (from.Host.DataCentre == c.cutOff || to.Host.DataCentre == c.cutOff)
		return cut || c.lone[from.Host.Name] || c.lone[to.Host.Name]
	}
	return c
}

// step applies one fault or undoes one.
func (c *chaos) step(t *testing.T) {
	i := c.rng.IntN(chaosHosts)
	node := c.byAddr[c.Listing.Hosts[i].Address]
	name := node.Host.Name
	kind := c.rng.IntN(9)
	c.faults = append(c.faults, fmt.Sprintf("%v %d %s", c.Now(), kind, name))
	switch kind {
	case 0:
		node.Down = true
	case 1:
		c.restart(t, i)
	case 2:
		node.Frozen = !node.Frozen
	case 3:
		c.lone[name] = !c.lone[name]
	case 4:
		c.cutOff = node.Host.DataCentre
	case 5:
		c.cutOff = ""
	case 6:
		c.Loss = 0.3 - c.Loss
	case 7:
		c.Step(node, membership.Leave{})
	default:
		c.versions++
		c.Step(node, membership.ConfigurationApplied{Version: c.versions})
	}
}

func (c *chaos) restart(t *testing.T, i int) {
	if _, err := c.Start(i); err != nil {
		t.Fatal(err)
	}
}

// undo ends all faults. Hosts that are down or leaving start again.
func (c *chaos) undo(t *testing.T) {
	c.Loss, c.cutOff = 0, ""
	clear(c.lone)
	for i, l := range c.Listing.Hosts {
		node := c.byAddr[l.Address]
		node.Frozen = false
		if node.Down || node.Core.Self().State != wire.Alive {
			c.restart(t, i)
		}
	}
}

// TestAnyFaultsThenAgreement draws schedules of crashes, restarts, pauses,
// isolation, cuts, loss and leaving.
func TestAnyFaultsThenAgreement(t *testing.T) {
	const schedules = 40
	for seed := uint64(1); seed <= schedules; seed++ {
		c := newChaos(t, seed)
		for range chaosSteps {
			c.step(t)
			c.Run(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
		}
		c.undo(t)
		agreed := func() bool { return c.Agree() && lowestVersion(c.Fleet) == highestVersion(c.Fleet) }
		if took, ok := c.RunUntil(settling, agreed); !ok {
			t.Errorf("seed %d: no agreement on members and version %v after the last fault; faults: %v", seed, took, c.faults)
		}
	}
}

func highestVersion(f *Fleet) uint64 {
	var highest uint64
	for _, node := range f.Running() {
		highest = max(highest, node.Core.ConfigVersion())
	}
	return highest
}
