package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// settling is ample time for a fleet of a few hosts to agree.
	settling = 20 * time.Second
	// healing is what "within seconds" may mean after a cut.
	healing = 10 * time.Second
	// hopeless is how long a naive version is given.
	hopeless = 2 * time.Minute
)

// deaf hides from every node what the others say about it, so that it cannot
// deny its death.
func deaf(to *Node, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.Heartbeat:
		m.Members = without(m.Members, to.Host.Name)
		return m
	case wire.SyncReply:
		m.Members = without(m.Members, to.Host.Name)
		return m
	default:
		return m
	}
}

func without(members []wire.Member, host string) []wire.Member {
	var others []wire.Member
	for _, u := range members {
		if u.Host != host {
			others = append(others, u)
		}
	}
	return others
}

func halves(from, to *Node) bool {
	return (from.Host.Name < "host-005") != (to.Host.Name < "host-005")
}

// healsInside tells whether ten hosts of one data centre agree again after
// half of them were cut off from the others.
func healsInside(t *testing.T, cfg membership.Config, rewrite func(*Node, wire.Message) wire.Message, limit time.Duration) bool {
	f := newFleet(t, 10, 1, cfg)
	within(t, f, settling, "start", f.Agree)
	f.Rewrite = rewrite
	f.Separated = halves
	f.Run(time.Minute)
	for _, node := range f.Running() {
		if holds, all := sideAgrees(node); holds != all {
			t.Errorf("%s during the cut: %d of %d members as expected", node.Host.Name, holds, all)
		}
	}
	f.Separated = nil
	_, ok := f.RunUntil(limit, f.Agree)
	return ok
}

// sideAgrees counts the members that a host rightly calls alive or dead
// during the cut.
func sideAgrees(node *Node) (holds, all int) {
	for _, m := range node.Core.Members() {
		all++
		other := (m.Host < "host-005") != (node.Host.Name < "host-005")
		if other == (m.State == wire.Dead) {
			holds++
		}
	}
	return holds, all
}

func TestCutInsideADataCentreHeals(t *testing.T) {
	if !healsInside(t, Chosen(), nil, healing) {
		t.Errorf("no agreement within %v of the end of the cut", healing)
	}
}

// TestNaiveVersionsDoNotHeal shows that the same check fails when the dead are
// not probed and when a host cannot deny its death.
func TestNaiveVersionsDoNotHeal(t *testing.T) {
	forgetful := Chosen()
	forgetful.DeadProbeInterval = 0
	if healsInside(t, forgetful, nil, hopeless) {
		t.Error("agreement without probing the dead")
	}
	if healsInside(t, Chosen(), deaf, hopeless) {
		t.Error("agreement without denial")
	}
}

func firstCutOff(from, to *Node) bool {
	return (from.Host.DataCentre == "dc-00") != (to.Host.DataCentre == "dc-00")
}

func TestCutBetweenDataCentresHeals(t *testing.T) {
	f := newFleet(t, 12, 3, Chosen())
	within(t, f, settling, "start", f.Agree)
	f.Separated = firstCutOff
	f.Run(time.Minute)
	for _, node := range f.Running() {
		for _, m := range node.Core.Members() {
			want := wire.Alive
			if (m.DataCentre == "dc-00") != (node.Host.DataCentre == "dc-00") {
				want = wire.Suspect
			}
			if m.State != want {
				t.Errorf("during the cut %s calls %s %s, want %s", node.Host.Name, m.Host, m.State, want)
			}
		}
	}
	f.Separated = nil
	within(t, f, healing, "heal", f.Agree)
}

// healsThoughReplaced tells whether two sides agree after a cut during which
// one of them got all hosts replaced by others at other addresses.
func healsThoughReplaced(t *testing.T, rewrite func(*Node, wire.Message) wire.Message, limit time.Duration) bool {
	f := newFleet(t, 8, 2, Chosen())
	within(t, f, settling, "start", f.Agree)
	f.Rewrite = rewrite
	f.Separated = firstCutOff
	f.Run(30 * time.Second)
	for i := 0; i < 8; i += 2 {
		if _, err := f.Replace(i); err != nil {
			t.Fatal(err)
		}
		f.Run(10 * time.Second)
	}
	f.Publish()
	f.Separated = nil
	_, ok := f.RunUntil(limit, f.Agree)
	return ok
}

func TestCutHealsThoughAllHostsWereReplaced(t *testing.T) {
	if !healsThoughReplaced(t, nil, healing) {
		t.Errorf("no agreement within %v of the end of the cut", healing)
	}
}

// TestNewsAloneLeavesGhosts shows that the same check fails when hosts do not
// compare their tables: nobody is left who could tell of the replaced ones.
func TestNewsAloneLeavesGhosts(t *testing.T) {
	if healsThoughReplaced(t, newsOnly, hopeless) {
		t.Error("agreement without comparing tables")
	}
}

func newsOnly(_ *Node, m wire.Message) wire.Message {
	if _, ok := m.(wire.SyncReply); ok {
		return wire.SyncReply{}
	}
	return m
}
