package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// partition is a dialer that can cut its host off from servers.
type partition struct {
	net.Dialer
	servers map[string]bool
	// hangs makes new connections hang; otherwise they are refused.
	hangs bool
	cut   atomic.Bool
}

// newPartition returns a dialer whose host reaches the given servers.
func newPartition(servers []*standin.Server, hangs bool) *partition {
	p := &partition{servers: make(map[string]bool), hangs: hangs}
	for _, s := range servers {
		p.servers[s.Address()] = true
	}
	return p
}

// DialContext implements httpcall.Dialer.
func (p *partition) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !p.cut.Load() || !p.servers[address] {
		return p.Dialer.DialContext(ctx, network, address)
	}
	if p.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
}

// Bounds on first tries at hosts that are cut off from all servers, as the users
// state them: a share of that at the other hosts, or some failures.
const (
	minCutOffShare     = 2.0 / 3
	toleratedFailures  = 10
	toleratedFailShare = 1.0 / 50
	cutOffSettling     = 3 * time.Second
)

// startServers starts and registers servers of both services.
func startServers(t *testing.T, store *standin.Store, engines, desks int) (all, desk []*standin.Server) {
	t.Helper()
	for i := range engines + desks {
		id, service := fmt.Sprint("i-e", i), "llm"
		if i >= engines {
			id, service = fmt.Sprint("i-d", i), "desk"
		}
		s := standin.NewServer(id)
		t.Cleanup(s.Close)
		s.Register(store, service, "a", standin.StateReady)
		all = append(all, s)
		if service == "desk" {
			desk = append(desk, s)
		}
	}
	return all, desk
}

// TestHostsWithoutServersServeThroughOthers guards against hosts that refuse
// everything while they are cut off from all servers and other hosts are not.
func TestHostsWithoutServersServeThroughOthers(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("connections hang ", hangs), func(t *testing.T) {
			g := NewWithT(t)
			const hosts, cutOff = 6, 3
			store := standin.NewStore()
			t.Cleanup(store.Close)
			store.PutConfiguration(1, "k1")
			servers, _ := startServers(t, store, 8, 3)
			var all []*testHost
			var partitions []*partition
			for i := range hosts {
				p := newPartition(servers, hangs)
				partitions = append(partitions, p)
				all = append(all, startHostWithDialer(t, fmt.Sprint("h", i), store, p))
			}
			const warmUp, length = time.Second, 8 * time.Second
			start := time.Now()
			cutAt := start.Add(warmUp)
			time.AfterFunc(warmUp, func() {
				for _, p := range partitions[:cutOff] {
					p.cut.Store(true)
				}
			})
			var sending sync.WaitGroup
			var sent, served [2]atomic.Int64
			for i := range 4 * hosts {
				sending.Go(func() {
					for n := 0; time.Since(start) < warmUp+length; n++ {
						time.Sleep(rand.N(200 * time.Millisecond))
						host, id := i%hosts, fmt.Sprintf("r-%d-%d", i, n)
						counted := time.Since(cutAt) > cutOffSettling
						var answer reply
						switch n % 3 {
						case 0:
							answer = all[host].sendPrompt(id, "5c:40,own:20")
						case 1:
							answer = all[host].send("POST", "/u/", "", standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"))
						default:
							answer = all[host].send("GET", "/g/", "", standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"))
						}
						if !counted {
							continue
						}
						group := 0
						if host >= cutOff {
							group = 1
						}
						sent[group].Add(1)
						if answer.status == http.StatusOK && answer.readError == nil {
							served[group].Add(1)
						}
					}
				})
			}
			sending.Wait()
			t.Logf("first tries served: %d of %d at hosts without servers, %d of %d at the others", served[0].Load(), sent[0].Load(), served[1].Load(), sent[1].Load())
			share := func(group int) float64 { return float64(served[group].Load()) / float64(sent[group].Load()) }
			failed := float64(sent[0].Load() - served[0].Load())
			if failed > toleratedFailures+toleratedFailShare*float64(sent[0].Load()) {
				g.Expect(share(0)).To(BeNumerically(">=", minCutOffShare*share(1)))
			}
			g.Expect(share(1)).To(BeNumerically(">", 0.95), "the others are not affected")
			executed := make(map[string]int)
			for _, s := range servers {
				for _, r := range s.ReceivedRequests() {
					if r.Target == "/u/" {
						executed[r.ID]++
					}
				}
			}
			for id, runs := range executed {
				g.Expect(runs).To(Equal(1), "request %s may not be repeated", id)
			}
		})
	}
}
