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

// testHost runs a membership core on a real transport, as the process of a host
// does.
type testHost struct {
	name       string
	transport  *Transport
	events     chan membership.Event
	stop       chan struct{}
	goroutines sync.WaitGroup
	killOnce   sync.Once

	mu sync.Mutex
	// states holds the last reported state of every other host.
	states map[string]wire.State
}

// startHost starts the host at index i of the list. Heartbeats are more
// frequent than by default, to keep the test short.
func startHost(t *testing.T, hostList membership.HostsListed, i int, listener net.Listener) *testHost {
	cfg := membership.DefaultConfig()
	cfg.Self = membership.Host{
		Name: hostList.Hosts[i].Name, DataCentre: hostList.Hosts[i].DataCentre,
		Address: hostList.Hosts[i].Address, Incarnation: uint64(time.Now().UnixMilli()),
	}
	cfg.Seed = uint64(i)
	cfg.HeartbeatInterval, cfg.WatchInterval = 100*time.Millisecond, 100*time.Millisecond
	core, err := membership.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &testHost{
		name: cfg.Self.Name, events: make(chan membership.Event, 1024),
		stop: make(chan struct{}), states: make(map[string]wire.State),
	}
	h.transport, err = New(fastConfig(cfg.Self.Address), nil, func(from string, m wire.Message) {
		h.events <- membership.MessageReceived{From: from, Message: m}
	}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	h.goroutines.Go(func() {
		if err := h.transport.Serve(listener); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	h.goroutines.Go(func() { h.runCore(core, hostList) })
	t.Cleanup(h.kill)
	return h
}

// runCore steps the core. No other goroutine uses the core.
func (h *testHost) runCore(core *membership.Core, hostList membership.HostsListed) {
	const tick = 20 * time.Millisecond
	start := time.Now()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	h.execute(core.Step(0, hostList))
	for {
		select {
		case <-h.stop:
			return
		case e := <-h.events:
			h.execute(core.Step(time.Since(start), e))
		case <-ticker.C:
			h.execute(core.Tick(time.Since(start)))
		}
	}
}

// execute sends messages and records the states of other hosts.
func (h *testHost) execute(effects []membership.Effect) {
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

// memberStates returns a copy of the states of the other hosts.
func (h *testHost) memberStates() map[string]wire.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := make(map[string]wire.State, len(h.states))
	for name, state := range h.states {
		result[name] = state
	}
	return result
}

// kill stops the host without announcing it to the others.
func (h *testHost) kill() {
	h.killOnce.Do(func() {
		close(h.stop)
		go h.drainEvents()
		h.transport.Close()
		h.goroutines.Wait()
		close(h.events)
	})
}

// drainEvents unblocks handlers that wait to pass an event to the stopped core.
func (h *testHost) drainEvents() {
	for range h.events {
		continue
	}
}

// TestHostsDetectDeadHostOverTCP runs four hosts in two data centres. All must
// see each other alive, and after one is killed the others must see it dead.
func TestHostsDetectDeadHostOverTCP(t *testing.T) {
	g := gomega.NewWithT(t)
	var hostList membership.HostsListed
	var listeners []net.Listener
	for i := range 4 {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		hostList.Hosts = append(hostList.Hosts, membership.ListedHost{
			Name: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Address: l.Addr().String(),
		})
	}
	var hosts []*testHost
	for i, l := range listeners {
		hosts = append(hosts, startHost(t, hostList, i, l))
	}
	for _, h := range hosts {
		want := make(map[string]wire.State)
		for _, other := range hosts {
			if other != h {
				want[other.name] = wire.Alive
			}
		}
		g.Eventually(h.memberStates, testTimeout).Should(gomega.Equal(want))
	}
	hosts[3].kill()
	for _, h := range hosts[:3] {
		g.Eventually(h.memberStates, testTimeout).Should(gomega.HaveKeyWithValue("host-3", wire.Dead))
	}
}
