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

// lossySender delivers the messages of one host of a test, and loses them all
// while dropMessages is set.
type lossySender struct {
	hosts        map[string]*claimPeers
	from         string
	dropMessages bool
}

// Send implements peer.Sender.
func (s *lossySender) Send(to string, m wire.Message) {
	if host := s.hosts[to]; host != nil && !s.dropMessages {
		host.handleMessage(s.from, m)
	}
}

// newClaimHosts returns n hosts that share a store and know each other, by
// address, with their senders.
func newClaimHosts(t *testing.T, store *standin.Store, n int) (map[string]*claimPeers, []*lossySender) {
	t.Helper()
	hosts := make(map[string]*claimPeers)
	var senders []*lossySender
	logger := &log.Logger{Handler: discard.New()}
	for i := range n {
		address := fmt.Sprintf("h%d:1", i)
		p := newClaimPeers(address, address)
		cfg := claim.DefaultConfig()
		cfg.Peers = p
		cfg.Patience = 500 * time.Millisecond
		claimer, err := claim.New(cfg, store.ViewFrom("a"), logger)
		if err != nil {
			t.Fatal(err)
		}
		sender := &lossySender{hosts: hosts, from: address}
		p.claimer, p.sender = claimer, sender
		hosts[address] = p
		senders = append(senders, sender)
		t.Cleanup(func() { _ = claimer.Close(context.Background()) })
	}
	for _, p := range hosts {
		for other := range hosts {
			if other != p.selfAddress {
				p.updateMember(other, other, wire.Alive)
			}
		}
	}
	return hosts, senders
}

// claimEveryKey makes every host claim every key, and counts the grants of each
// key. While messages are lost a claim may be refused; mayRefuse allows this.
// The host then avoids the owner that did not answer, so its next claim on an
// object of that owner goes to the store.
func claimEveryKey(t *testing.T, hosts map[string]*claimPeers, granted map[int]int, mayRefuse bool) {
	t.Helper()
	for _, p := range hosts {
		for i := range keyCount {
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
				if !mayRefuse || a.Decision != shard.Refused {
					t.Errorf("key %d at %s: %v", i, p.selfAddress, a.Decision)
				}
			}
		}
	}
}

// keyCount is the number of keys that each host claims.
const keyCount = 4

// TestKeyIsGrantedOnceAcrossHosts checks that each key is granted exactly once,
// whichever host is asked, both when the messages between hosts arrive and when
// all of them are lost.
func TestKeyIsGrantedOnceAcrossHosts(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		store := standin.NewStore(standin.Config{})
		hosts, senders := newClaimHosts(t, store, 3)
		for _, sender := range senders {
			sender.dropMessages = lossy
		}
		granted := make(map[int]int)
		if lossy {
			claimEveryKey(t, hosts, granted, true)
		}
		claimEveryKey(t, hosts, granted, false)
		for i := range keyCount {
			if granted[i] != 1 {
				t.Errorf("messages lost %v: key %d was granted %d times", lossy, i, granted[i])
			}
		}
	}
}

// TestDeadHostOwnsNoObjects checks that a host owns objects while it is alive,
// and none once it is dead.
func TestDeadHostOwnsNoObjects(t *testing.T) {
	p := newClaimPeers("h0", "h0:1")
	p.updateMember("h1", "h1:1", wire.Alive)
	owned := 0
	for i := range 64 {
		if p.Owner(fmt.Sprint(i)) == "h1:1" {
			owned++
		}
	}
	p.updateMember("h1", "h1:1", wire.Dead)
	for i := range 64 {
		if p.Owner(fmt.Sprint(i)) != "" {
			t.Fatal("a dead host owns an object")
		}
	}
	if owned == 0 || owned == 64 {
		t.Fatalf("the live host owned %d of 64 objects", owned)
	}
}
