package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// agreementTimeout is ample time for the views of a few hosts to agree.
	agreementTimeout = 20 * time.Second
	// recoveryTimeout is the time within which views must agree again after a
	// partition or a pause.
	recoveryTimeout = 10 * time.Second
	// naiveTimeout is the time within which the views of hosts that lack a
	// mechanism must still disagree.
	naiveTimeout = 2 * time.Minute
)

// hideOwnEntries removes the entries about the receiver from a message, so that
// no node can refute its death.
func hideOwnEntries(to *Node, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.Heartbeat:
		m.Members = withoutHost(m.Members, to.Host.Name)
		return m
	case wire.SyncReply:
		m.Members = withoutHost(m.Members, to.Host.Name)
		return m
	default:
		return m
	}
}

// withoutHost returns the entries without those of one host.
func withoutHost(members []wire.Member, host string) []wire.Member {
	var others []wire.Member
	for _, u := range members {
		if u.Host != host {
			others = append(others, u)
		}
	}
	return others
}

// separatesHalves is a partition between hosts 0 to 4 and hosts 5 to 9.
func separatesHalves(from, to *Node) bool {
	return (from.Host.Name < "host-005") != (to.Host.Name < "host-005")
}

// recoversWithinDataCentre reports whether the views of ten hosts in one data
// centre agree again within the limit after a partition between the two halves.
// During the partition each half must see the other one as dead.
func recoversWithinDataCentre(t *testing.T, cfg membership.Config, rewrite func(*Node, wire.Message) wire.Message, limit time.Duration) bool {
	f := newFleet(t, 10, 1, cfg)
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	f.RewriteReceived = rewrite
	f.Partitioned = separatesHalves
	f.Run(time.Minute)
	for _, node := range f.Running() {
		if expected, total := countExpectedStates(node); expected != total {
			t.Errorf("%s during the partition: %d of %d members as expected", node.Host.Name, expected, total)
		}
	}
	f.Partitioned = nil
	_, ok := f.RunUntil(limit, f.ViewsAgree)
	return ok
}

// countExpectedStates counts the members that a node sees as expected during the
// partition: those of the other half as dead, and those of its own half not.
func countExpectedStates(node *Node) (expected, total int) {
	for _, m := range node.Core.Members() {
		total++
		otherHalf := (m.Host < "host-005") != (node.Host.Name < "host-005")
		if otherHalf == (m.State == wire.Dead) {
			expected++
		}
	}
	return expected, total
}

// TestViewsAgreeAfterPartitionWithinDataCentre checks that the halves of a data
// centre, which have declared each other dead, find each other again.
func TestViewsAgreeAfterPartitionWithinDataCentre(t *testing.T) {
	if !recoversWithinDataCentre(t, ProductConfig(), nil, recoveryTimeout) {
		t.Errorf("no agreement within %v after the end of the partition", recoveryTimeout)
	}
}

// TestViewsDisagreeWithoutDeadProbesOrRefutation shows that the same check fails
// if dead hosts are not probed, and if a host cannot refute its death.
func TestViewsDisagreeWithoutDeadProbesOrRefutation(t *testing.T) {
	withoutDeadProbes := ProductConfig()
	withoutDeadProbes.DeadProbeInterval = 0
	if recoversWithinDataCentre(t, withoutDeadProbes, nil, naiveTimeout) {
		t.Error("the views agree although dead hosts are not probed")
	}
	if recoversWithinDataCentre(t, ProductConfig(), hideOwnEntries, naiveTimeout) {
		t.Error("the views agree although no host can refute its death")
	}
}

// separatesFirstDataCentre is a partition between data centre dc-00 and the
// others.
func separatesFirstDataCentre(from, to *Node) bool {
	return (from.Host.DataCentre == "dc-00") != (to.Host.DataCentre == "dc-00")
}

// TestViewsAgreeAfterPartitionBetweenDataCentres checks that hosts see the
// members of an unreachable data centre as suspect, not as dead, and as alive
// after the end of the partition.
func TestViewsAgreeAfterPartitionBetweenDataCentres(t *testing.T) {
	f := newFleet(t, 12, 3, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	f.Partitioned = separatesFirstDataCentre
	f.Run(time.Minute)
	for _, node := range f.Running() {
		for _, m := range node.Core.Members() {
			want := wire.Alive
			if (m.DataCentre == "dc-00") != (node.Host.DataCentre == "dc-00") {
				want = wire.Suspect
			}
			if m.State != want {
				t.Errorf("during the partition %s sees %s as %s, want %s", node.Host.Name, m.Host, m.State, want)
			}
		}
	}
	f.Partitioned = nil
	waitFor(t, f, recoveryTimeout, "heal", f.ViewsAgree)
}

// recoversAfterReplacement reports whether the views of two data centres agree
// within the limit after a partition during which all hosts of one of them were
// replaced by hosts with other names and addresses.
func recoversAfterReplacement(t *testing.T, rewrite func(*Node, wire.Message) wire.Message, limit time.Duration) bool {
	f := newFleet(t, 8, 2, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	f.RewriteReceived = rewrite
	f.Partitioned = separatesFirstDataCentre
	f.Run(30 * time.Second)
	for i := 0; i < 8; i += 2 {
		if _, err := f.Replace(i); err != nil {
			t.Fatal(err)
		}
		f.Run(10 * time.Second)
	}
	f.PublishHostList()
	f.Partitioned = nil
	_, ok := f.RunUntil(limit, f.ViewsAgree)
	return ok
}

// TestViewsAgreeAfterPartitionWithReplacedHosts checks that the other side finds
// the new hosts and sees the old ones as dead, even those whose end no running
// host has observed.
func TestViewsAgreeAfterPartitionWithReplacedHosts(t *testing.T) {
	if !recoversAfterReplacement(t, nil, recoveryTimeout) {
		t.Errorf("no agreement within %v after the end of the partition", recoveryTimeout)
	}
}

// TestReplacedHostsRemainWithoutTableSync shows that the same check fails if
// hosts do not exchange their tables: no running host still gossips the end of
// the replaced ones.
func TestReplacedHostsRemainWithoutTableSync(t *testing.T) {
	if recoversAfterReplacement(t, dropSyncReplies, naiveTimeout) {
		t.Error("the views agree although tables are not exchanged")
	}
}

// dropSyncReplies empties every reply of the table comparison.
func dropSyncReplies(_ *Node, m wire.Message) wire.Message {
	if _, ok := m.(wire.SyncReply); ok {
		return wire.SyncReply{}
	}
	return m
}
