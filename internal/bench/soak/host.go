package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/bench/relay"
	"github.com/chestnutline/chestnutline/platform"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// Ports of a host at its own loopback address.
const (
	callerPort  = 8227
	readyPort   = 8220
	peerPort    = 7340
	metricsPort = 9464
)

const (
	// checkInterval is the time between two readiness checks, and missedChecks
	// how many of them take a host out of rotation, as the platform's balancer
	// does it.
	checkInterval = time.Second
	missedChecks  = 2
	// startPause is the time before an ended process is started again.
	startPause = 300 * time.Millisecond
)

// host is one gateway with the relays around it.
type host struct {
	name, ip string
	file     string
	world    *world

	toStore, fromPeers         *relay.Relay
	toStoreLink, fromPeersLink *relay.Link

	// turn serves faults of the process one after the other.
	turn sync.Mutex

	mu      sync.Mutex
	process *fleet.Process
	boot    int
	// asked says that the soak ended the process; final that none is to come.
	asked, final bool
	missed       int
	everReady    bool
}

// newHost prepares a host's relays and settings.
func newHost(w *world, index int) (*host, error) {
	h := &host{
		name: fmt.Sprintf("host-%d", index), ip: fmt.Sprintf("127.%d.%d.%d", w.network, index/200, 1+index%200), world: w,
		toStoreLink: &relay.Link{}, fromPeersLink: &relay.Link{},
	}
	var err error
	seed := w.config.Seed + uint64(index)
	h.toStore, err = relay.Start("127.0.0.1:0", w.store.Address(), relay.SingleLink(h.toStoreLink), seed)
	if err != nil {
		return nil, err
	}
	h.fromPeers, err = relay.Start("127.0.0.1:0", h.address(peerPort), relay.SingleLink(h.fromPeersLink), seed)
	if err != nil {
		return nil, err
	}
	h.file = filepath.Join(w.config.Directory, h.name+".toml")
	text := standin.HostSettings{
		Host: h.name, DataCentre: dataCentre(index), IP: h.ip, CallerAddress: h.address(callerPort), ReadyAddress: h.address(readyPort),
		StoreAddress: h.toStore.Address(), PeerPort: peerPort, GracePeriod: grace,
	}.TOML()
	return h, errors.Wrap(os.WriteFile(h.file, []byte(text), 0o600), "write a host's settings")
}

// dataCentres is how many data centres hosts and servers are spread over.
const dataCentres = 3

func dataCentre(index int) string { return string(rune('a' + index%dataCentres)) }

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// start runs the program, and again whenever it ends.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.final {
		return nil
	}
	p, err := h.world.processes.Start(h.name, h.world.config.Gateway,
		"--settings", h.file, "--metrics", h.address(metricsPort))
	if err != nil {
		return err
	}
	h.process, h.asked, h.missed, h.everReady = p, false, missedChecks, false
	h.boot++
	go h.follow(p)
	return nil
}

// follow waits for the end of a run and starts the next one.
func (h *host) follow(p *fleet.Process) {
	<-p.Done()
	h.mu.Lock()
	exit := Exit{Host: h.name, At: h.world.now(), Asked: h.asked || h.final}
	h.mu.Unlock()
	if p.Err() != nil {
		exit.Text = p.Err().Error()
	}
	h.world.note(func(history *History) { history.Exits = append(history.Exits, exit) })
	time.Sleep(startPause)
	if err := h.start(); err != nil {
		h.world.fail(err)
	}
}

// running returns the present run.
func (h *host) running() (*fleet.Process, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process, h.boot
}

// ask signals the process to end and waits for its next run to be ready.
func (h *host) ask(signal syscall.Signal, down time.Duration) {
	h.mu.Lock()
	h.asked = true
	p, boot := h.process, h.boot
	h.mu.Unlock()
	h.world.signal(p, signal)
	if !p.Wait(grace) {
		h.world.signal(p, syscall.SIGKILL)
	}
	time.Sleep(down)
	h.world.await(grace, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.boot > boot && h.everReady || h.final
	})
}

// check asks whether the host is ready, as the balancer does.
func (h *host) check(client *http.Client) {
	response, err := client.Get("http://" + h.address(readyPort) + platform.ReadyPath)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready {
		h.missed, h.everReady = 0, true
		return
	}
	h.missed++
}

func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.missed < missedChecks
}

// finish lets no further run begin.
func (h *host) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.final = true
}
