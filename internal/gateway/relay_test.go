package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/platform"
)

func TestTheStrongestHostIsTheRelay(t *testing.T) {
	g := NewWithT(t)
	r := newRelays()
	r.set([]member{
		{name: "c", address: "c", dataCentre: "a", power: 0.2},
		{name: "b", address: "b", dataCentre: "a", power: 0.8},
		{name: "a", address: "a", dataCentre: "a", power: 0.8},
		{name: "d", address: "d", dataCentre: "b", power: 1},
	})
	choose := func(now time.Duration) string {
		m, ok := r.choose("a", now)
		g.Expect(ok).To(BeTrue())
		return m.name
	}
	g.Expect(choose(0)).To(Equal("a"))
	r.note("a", false, 0)
	g.Expect(choose(0)).To(Equal("a"), "connecting takes a while")
	r.note("a", false, time.Second)
	g.Expect(choose(time.Second)).To(Equal("b"))
	g.Expect(choose(7*time.Second)).To(Equal("a"), "it is tried again")
	_, ok := r.choose("nowhere", 0)
	g.Expect(ok).To(BeFalse())
}

// heardNews counts the hosts whose work each host has heard of.
type heardNews struct {
	mu    sync.Mutex
	hosts map[string]bool
}

func (h *heardNews) post(e balance.Event) {
	if w, ok := e.(balance.ReportReceived); ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.hosts[w.Host] = true
	}
}

func (h *heardNews) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.hosts)
}

// TestNewsReachesAllHostsThroughRelays starts more hosts than tell each other
// directly, in two data centres, and then ends a relay.
func TestNewsReachesAllHostsThroughRelays(t *testing.T) {
	g := NewWithT(t)
	const hosts = 20
	var all []*peers
	var news []*heardNews
	var objects []platform.Object
	for i := range hosts {
		h := &heardNews{hosts: make(map[string]bool)}
		self := member{name: fmt.Sprintf("h%02d", i), address: freeAddress(t), dataCentre: fmt.Sprint("dc", i%2), power: 0.2}
		p, err := newPeers(self, clock.Start(), &log.Logger{Handler: discard.New()}, h.post)
		g.Expect(err).NotTo(HaveOccurred())
		p.seen = func() []uint64 { return nil }
		p.heard = func([]uint64) {}
		p.fed = func(feed) {}
		servePeers(t, p)
		all, news = append(all, p), append(news, h)
		spec := fmt.Sprintf(`{"address":%q,"data_centre":%q,"power":0.2}`, self.address, self.dataCentre)
		objects = append(objects, platform.Object{Name: self.name, Spec: []byte(spec)})
	}
	for _, p := range all {
		p.listed(objects)
	}
	tellAll := func() {
		for _, p := range all {
			p.tell(balance.WorkReport{Boot: 1, Full: true})
		}
	}
	tellAll()
	for _, h := range news {
		g.Eventually(h.count, 5*time.Second).Should(Equal(hosts - 1))
	}
	all[0].transport.Close()
	for _, h := range news {
		h.hosts = make(map[string]bool)
	}
	for range 30 {
		tellAll()
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(news[2].count()).To(BeNumerically(">=", hosts-2), "another host of the data centre takes over")
}

func servePeers(t *testing.T, p *peers) {
	t.Helper()
	l, err := net.Listen("tcp", p.self.address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = p.transport.Serve(l) })
	running.Go(func() { _ = p.relay(ctx) })
	t.Cleanup(func() {
		cancel()
		p.transport.Close()
		running.Wait()
	})
}
