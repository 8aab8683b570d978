package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutline/chestnutline/internal/claim"
	"github.com/chestnutline/chestnutline/internal/claim/shard"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// wires connects the hosts of a test, and drops messages while cut.
type wires struct {
	hosts map[string]*claimPeers
	from  string
	cut   bool
}

func (w *wires) Send(to string, m wire.Message) {
	if host := w.hosts[to]; host != nil && !w.cut {
		host.receive(w.from, m)
	}
}

// claimHosts returns hosts that share a store and know each other.
func claimHosts(t *testing.T, store *standin.Store, n int) (map[string]*claimPeers, []*wires) {
	t.Helper()
	hosts := make(map[string]*claimPeers)
	var all []*wires
	logger := &log.Logger{Handler: discard.New()}
	for i := range n {
		address := fmt.Sprintf("h%d:1", i)
		p := newClaimPeers(address, address)
		cfg := claim.DefaultConfig()
		cfg.Peers = p
		cfg.Patience = 500 * time.Millisecond
		claimer, err := claim.New(cfg, store.From("a"), logger)
		if err != nil {
			t.Fatal(err)
		}
		w := &wires{hosts: hosts, from: address}
		p.claimer, p.sender = claimer, w
		hosts[address] = p
		all = append(all, w)
		t.Cleanup(func() { _ = claimer.Close(context.Background()) })
	}
	for _, p := range hosts {
		for other := range hosts {
			if other != p.self {
				p.memberChanged(other, other, wire.Alive)
			}
		}
	}
	return hosts, all
}

// grants has every host claim every key, and counts the grants of each. While
// messages are lost a claim may be refused; the next one goes another way.
func grants(t *testing.T, hosts map[string]*claimPeers, granted map[int]int, lossy bool) {
	t.Helper()
	for _, p := range hosts {
		for i := range claimKeys {
			key, findings := claim.ParseKey("o", "order", fmt.Sprintf("k-%d", i))
			if len(findings) > 0 {
				t.Fatal(findings)
			}
			a := p.claimer.Claim(context.Background(), key, 1, time.Now().Add(time.Minute))
			switch a.Decision {
			case shard.Granted:
				granted[i]++
			case shard.InProgress:
			default:
				if !lossy || a.Decision != shard.Refused {
					t.Errorf("key %d at %s: %v", i, p.self, a.Decision)
				}
			}
		}
	}
}

const claimKeys = 4

// TestClaimsGoThroughTheirOwner: one grant a key whichever host is asked, with
// the messages between hosts arriving and with all of them lost.
func TestClaimsGoThroughTheirOwner(t *testing.T) {
	for _, cut := range []bool{false, true} {
		store := standin.NewStore(standin.Config{})
		hosts, all := claimHosts(t, store, 3)
		for _, w := range all {
			w.cut = cut
		}
		granted := make(map[int]int)
		if cut {
			grants(t, hosts, granted, true)
		}
		grants(t, hosts, granted, false)
		for i := range claimKeys {
			if granted[i] != 1 {
				t.Errorf("cut %v: key %d was granted %d times", cut, i, granted[i])
			}
		}
	}
}

// TestDeadHostsOwnNothing: a host that is not alive is no owner.
func TestDeadHostsOwnNothing(t *testing.T) {
	p := newClaimPeers("h0", "h0:1")
	p.memberChanged("h1", "h1:1", wire.Alive)
	owned := 0
	for i := range 64 {
		if p.Owner(fmt.Sprint(i)) == "h1:1" {
			owned++
		}
	}
	p.memberChanged("h1", "h1:1", wire.Dead)
	for i := range 64 {
		if p.Owner(fmt.Sprint(i)) != "" {
			t.Fatal("a dead host owns an object")
		}
	}
	if owned == 0 || owned == 64 {
		t.Fatalf("the live host owned %d of 64 objects", owned)
	}
}
