package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// pollInterval is the time between two looks at something awaited.
const pollInterval = 20 * time.Millisecond

// world is everything that a soak runs.
type world struct {
	config    Config
	network   int
	claim     net.Listener
	started   time.Time
	store     *standin.Store
	processes *fleet.Processes
	hosts     []*host
	servers   []*server

	mu      sync.Mutex
	history History
	errs    []error
}

// firstNetwork and networks are the second octets of the loopback addresses
// that soaks use, so that several run at a time.
const (
	firstNetwork = 20
	networks     = 200
)

// claimNetwork takes the second octet of an own set of loopback addresses. It
// is held until the listener is closed.
func claimNetwork() (int, net.Listener, error) {
	for i := range networks {
		network := firstNetwork + (os.Getpid()+i)%networks
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, peerPort))
		if err == nil {
			return network, claim, nil
		}
	}
	return 0, nil, errors.New("all networks of loopback addresses are taken by other soaks")
}

func newWorld(c Config) (*world, error) {
	network, claim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	w := &world{
		config: c, network: network, claim: claim, started: time.Now(),
		store: standin.NewStore(), processes: fleet.NewProcesses(c.Directory),
	}
	w.store.InterceptWrites(w.throughRelays)
	for i := range c.Engines + c.Desks {
		s, err := newServer(w, i)
		if err != nil {
			return w, err
		}
		w.servers = append(w.servers, s)
	}
	for i := range c.Hosts {
		h, err := newHost(w, i)
		if err != nil {
			return w, err
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

// throughRelays has hosts find each other's relays in place of each other.
func (w *world) throughRelays(_, name string, spec json.RawMessage) json.RawMessage {
	for _, h := range w.hosts {
		if h.name == name {
			changed := strings.Replace(string(spec), h.address(peerPort), h.fromPeers.Address(), 1)
			return json.RawMessage(changed)
		}
	}
	return spec
}

func (w *world) now() time.Duration { return time.Since(w.started) }

// note changes the history.
func (w *world) note(change func(*History)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.history)
}

// fail notes a failure of the soak itself.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, err)
}

func (w *world) signal(p *fleet.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		w.fail(err)
	}
}

// await waits until something is so, and returns whether it came about.
func (w *world) await(limit time.Duration, so func() bool) bool {
	deadline := time.Now().Add(limit)
	for !so() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// balance asks all hosts whether they are ready until the context ends.
func (w *world) balance(ctx context.Context) {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var checks sync.WaitGroup
		for _, h := range w.hosts {
			checks.Go(func() { h.check(client) })
		}
		checks.Wait()
		sleep(ctx, checkInterval)
	}
}

// rotation are the hosts that get new connections.
func (w *world) rotation() []*host {
	var ready []*host
	for _, h := range w.hosts {
		if h.inRotation() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		return w.hosts
	}
	return ready
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// collect completes the history with what the servers saw.
func (w *world) collect() History {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history
	for _, s := range w.servers {
		for _, stand := range s.all() {
			h.Held = append(h.Held, Held{Server: stand.ID, Tickets: stand.Reservations()})
			for _, r := range stand.ReceivedRequests() {
				if !r.Executed {
					continue
				}
				h.Runs = append(h.Runs, Execution{Request: r.ID, Server: stand.ID, At: r.At.Sub(w.started)})
			}
		}
	}
	sort.SliceStable(h.Runs, func(i, j int) bool {
		a, b := h.Runs[i], h.Runs[j]
		return a.Request < b.Request || a.Request == b.Request && a.At < b.At
	})
	return h
}

// close ends everything that the soak started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.finish()
	}
	w.processes.Close(grace)
	for _, h := range w.hosts {
		_ = h.toStore.Close()
		_ = h.fromPeers.Close()
	}
	for _, s := range w.servers {
		if _, r := s.present(); r != nil {
			_ = r.Close()
		}
		for _, stand := range s.all() {
			stand.Close()
		}
	}
	w.store.Close()
	_ = w.claim.Close()
}
