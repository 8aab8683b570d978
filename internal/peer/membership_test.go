package peer

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// host is a membership core on a real transport, as a process wires it.
type host struct {
	name      string
	transport *Transport
	events    chan membership.Event
	stop      chan struct{}
	wait      sync.WaitGroup
	once      sync.Once

	mu     sync.Mutex
	states map[string]wire.State
}

func startHost(t *testing.T, listing membership.HostsListed, i int, listener net.Listener) *host {
	cfg := membership.DefaultConfig()
	cfg.Self = membership.Host{
		Name: listing.Hosts[i].Name, DataCentre: listing.Hosts[i].DataCentre,
		Address: listing.Hosts[i].Address, Incarnation: uint64(time.Now().UnixMilli()),
	}
	cfg.Seed = uint64(i)
	cfg.HeartbeatInterval, cfg.WatchInterval = 100*time.Millisecond, 100*time.Millisecond
	core, err := membership.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{
		name: cfg.Self.Name, events: make(chan membership.Event, 1024),
		stop: make(chan struct{}), states: make(map[string]wire.State),
	}
	h.transport, err = New(quickConfig(cfg.Self.Address), nil, func(from string, m wire.Message) {
		h.events <- membership.MessageReceived{From: from, Message: m}
	}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	h.wait.Go(func() {
		if err := h.transport.Serve(listener); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	h.wait.Go(func() { h.control(core, listing) })
	t.Cleanup(h.kill)
	return h
}

// control is the one goroutine that owns the core.
func (h *host) control(core *membership.Core, listing membership.HostsListed) {
	const tick = 20 * time.Millisecond
	start := time.Now()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	h.carryOut(core.Step(0, listing))
	for {
		select {
		case <-h.stop:
			return
		case e := <-h.events:
			h.carryOut(core.Step(time.Since(start), e))
		case <-ticker.C:
			h.carryOut(core.Tick(time.Since(start)))
		}
	}
}

func (h *host) carryOut(effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			h.transport.Send(e.To, e.Message)
		case membership.MemberChanged:
			h.mu.Lock()
			h.states[e.Host] = e.State
			h.mu.Unlock()
		}
	}
}

func (h *host) sees() map[string]wire.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[string]wire.State, len(h.states))
	for name, state := range h.states {
		seen[name] = state
	}
	return seen
}

// kill ends the host without a word.
func (h *host) kill() {
	h.once.Do(func() {
		close(h.stop)
		go h.discard()
		h.transport.Close()
		h.wait.Wait()
		close(h.events)
	})
}

// discard lets handlers go on that wait for the control goroutine.
func (h *host) discard() {
	for range h.events {
		continue
	}
}

// TestHostsFindADeathOverTCP runs four hosts in two data centres.
func TestHostsFindADeathOverTCP(t *testing.T) {
	g := gomega.NewWithT(t)
	var listing membership.HostsListed
	var listeners []net.Listener
	for i := range 4 {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		listing.Hosts = append(listing.Hosts, membership.ListedHost{
			Name: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Address: l.Addr().String(),
		})
	}
	var hosts []*host
	for i, l := range listeners {
		hosts = append(hosts, startHost(t, listing, i, l))
	}
	for _, h := range hosts {
		want := make(map[string]wire.State)
		for _, other := range hosts {
			if other != h {
				want[other.name] = wire.Alive
			}
		}
		g.Eventually(h.sees, patience).Should(gomega.Equal(want))
	}
	hosts[3].kill()
	for _, h := range hosts[:3] {
		g.Eventually(h.sees, patience).Should(gomega.HaveKeyWithValue("host-3", wire.Dead))
	}
}
