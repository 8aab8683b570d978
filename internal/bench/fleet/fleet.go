package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// The file names of the programs that the bench starts.
const (
	programRouter     = "chestnut-router"
	programController = "chestnut-controller"
	programStandIn    = "chestnut-standin"
)

// Config holds the settings of a fleet.
type Config struct {
	Deployment workload.Deployment
	// Policy is the dispatch policy of the routers, "default" or "naive".
	Policy string
	// Seed initialises the random generators of the relays and stand-ins.
	Seed uint64
	// Programs is the directory that contains the programs.
	Programs string
	// Logs is the directory to which the programs' logs are written.
	Logs string
	// Engine holds the rates with which the stand-in engines are started.
	Engine workload.Engine
	// ChecksFencing makes the engines refuse orders with an outdated fencing
	// number.
	ChecksFencing bool
	// HostsLag is the delay until a change of the platform's list of hosts
	// becomes visible.
	HostsLag time.Duration
}

// Fleet manages the started processes and relays of one run.
type Fleet struct {
	Layout
	Network *Network

	config          Config
	block           *AddressBlock
	processes       *Processes
	client          jsonClient
	platformAddress string

	mu                  sync.Mutex
	routers             map[string]*Process
	controllers         map[string]*Process
	removedFromBalancer map[string]bool
	leaving             map[string]bool
}

// Start starts the stand-ins and the relays, and then the processes of the system
// itself. The routers become ready only after a configuration was submitted.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	block, err := NewAddressBlock()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Layout:              NewLayout(config.Deployment, block),
		config:              config,
		block:               block,
		processes:           NewProcesses(config.Logs),
		client:              newJSONClient(),
		platformAddress:     block.address(netPlatform, 1, portPlatform),
		routers:             make(map[string]*Process),
		controllers:         make(map[string]*Process),
		removedFromBalancer: make(map[string]bool),
		leaving:             make(map[string]bool),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the relays, the stand-ins and then the routers and controllers of
// all hosts.
func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Network, err = newNetwork(f.Layout, f.block, f.platformAddress, f.config.Seed); err != nil {
		return err
	}
	if err := f.startStandIns(); err != nil {
		return err
	}
	if err := f.waitStandIns(ctx); err != nil {
		return err
	}
	if err := f.PublishHosts(ctx); err != nil {
		return err
	}
	for _, h := range f.Hosts {
		if err := f.StartRouter(h); err != nil {
			return err
		}
		if err := f.StartController(h); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) programPath(name string) string { return filepath.Join(f.config.Programs, name) }

func (f *Fleet) startStandIns() error {
	if _, err := f.processes.Start("platform", f.programPath(programStandIn), "platform", "--listen", f.platformAddress,
		"--hosts-lag-ms", strconv.FormatInt(f.config.HostsLag.Milliseconds(), 10)); err != nil {
		return err
	}
	for dcIndex, name := range f.Deployment.DataCentres {
		if err := f.startUpstreams(dcIndex, name); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts one process for all engines and one for all services of a
// data centre.
func (f *Fleet) startUpstreams(dcIndex int, name string) error {
	for _, role := range []string{roleEngine, roleService} {
		upstreams := f.UpstreamsOf(role, dcIndex)
		if len(upstreams) == 0 {
			continue
		}
		args := f.engineArguments(dcIndex, upstreams)
		if role == roleService {
			args = f.serviceArguments(dcIndex, upstreams)
		}
		if _, err := f.processes.Start(name+"-"+role+"s", f.programPath(programStandIn), args...); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) engineArguments(dcIndex int, upstreams []Upstream) []string {
	return append(f.upstreamArguments(roleEngine, dcIndex, upstreams),
		"--models", f.Deployment.Model+"@"+f.Deployment.ModelVersion,
		"--seed", strconv.FormatUint(f.config.Seed+uint64(dcIndex*seedStride), 10),
		"--checks-fencing", strconv.FormatBool(f.config.ChecksFencing),
		"--step", time.Duration(f.config.Engine.BaseStepSeconds*float64(time.Second)).String(),
		"--prefill-rate", strconv.FormatFloat(f.config.Engine.PrefillRate, 'f', -1, 64),
		"--chunk-tokens", strconv.Itoa(f.config.Engine.ChunkTokens),
		"--memory-tokens", strconv.Itoa(f.config.Engine.MemoryTokens),
		"--max-batch", strconv.Itoa(f.config.Engine.MaxBatch),
	)
}

// seedStride is the distance between the seeds of the engine processes of two
// data centres, so that the seeds of engines in different processes do not
// overlap.
const seedStride = 1000

func (f *Fleet) serviceArguments(dcIndex int, upstreams []Upstream) []string {
	return append(f.upstreamArguments(roleService, dcIndex, upstreams), "--service", f.Deployment.Service)
}

// upstreamArguments returns the arguments that the programs of engines and
// services have in common.
func (f *Fleet) upstreamArguments(role string, dcIndex int, upstreams []Upstream) []string {
	ip, port, _ := strings.Cut(upstreams[0].Address, ":")
	return []string{
		role + "s",
		"--count", strconv.Itoa(len(upstreams)),
		"--ip", ip,
		"--base-port", port,
		"--control", f.controlAddress(role, dcIndex),
		"--data-centre", f.Deployment.DataCentres[dcIndex],
	}
}

// controlAddress returns the address at which the stand-ins of a role in a data
// centre accept faults and report counters.
func (f *Fleet) controlAddress(role string, dcIndex int) string {
	if role == roleEngine {
		return f.block.address(netPlatform, engineControlOctet+dcIndex, portStandInControl)
	}
	return f.block.address(netPlatform, serviceControlOctet+dcIndex, portStandInControl)
}

// StartRouter starts the router process of a host.
func (f *Fleet) StartRouter(h Host) error {
	p, err := f.processes.Start(h.Name+"-router", f.programPath(programRouter),
		"--host", h.Name,
		"--data-centre", f.Deployment.DataCentres[h.DataCentre],
		"--listen", h.Callers,
		"--admin", h.Admin,
		"--peer", h.PeerRelay,
		"--peer-bind", h.Peer,
		"--platform", "http://"+f.Network.platformRelays[h.DataCentre],
		"--policy", f.config.Policy,
	)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[h.Name] = p
	return nil
}

// StartController starts the controller process of a host. It does nothing if the
// directory of programs contains no controller.
func (f *Fleet) StartController(h Host) error {
	program := f.programPath(programController)
	if _, err := os.Stat(program); err != nil {
		return nil
	}
	p, err := f.processes.Start(h.Name+"-controller", program,
		"--host", h.Name,
		"--data-centre", f.Deployment.DataCentres[h.DataCentre],
		"--admin", h.ControllerAdmin,
		"--platform", "http://"+f.Network.platformRelays[h.DataCentre],
	)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controllers[h.Name] = p
	return nil
}

// ProcessesOf returns the most recently started router process of a host and, if
// there is one, its controller process.
func (f *Fleet) ProcessesOf(host string) []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []*Process{f.routers[host]}
	if p := f.controllers[host]; p != nil {
		all = append(all, p)
	}
	return all
}

// Controller returns the most recently started controller process of a host, or
// nil if none was started.
func (f *Fleet) Controller(host string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controllers[host]
}

// IsSystemProcess reports whether the process with the given name is a router or
// controller of the system rather than a stand-in.
func (f *Fleet) IsSystemProcess(process string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, own := range []map[string]*Process{f.routers, f.controllers} {
		for _, p := range own {
			if p.Name == process {
				return true
			}
		}
	}
	return false
}

// HasControllers reports whether any controller was started.
func (f *Fleet) HasControllers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.controllers) > 0
}

// RemoveFromBalancer removes a host from the simulated load balancer, so that the
// host gets no new requests.
func (f *Fleet) RemoveFromBalancer(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removedFromBalancer[host] = true
}

// AddToBalancer adds a host to the load balancer again after RemoveFromBalancer.
func (f *Fleet) AddToBalancer(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.removedFromBalancer, host)
}

// IsInBalancer reports whether the load balancer sends requests to a host.
func (f *Fleet) IsInBalancer(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.removedFromBalancer[host]
}

// AddressesOf returns the addresses for callers of those hosts of a data centre
// that are in the load balancer. They are the addresses of the relays in front of
// the hosts.
func (f *Fleet) AddressesOf(dataCentre int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, h := range f.HostsOf(dataCentre) {
		if !f.removedFromBalancer[h.Name] {
			addresses = append(addresses, h.CallersRelay)
		}
	}
	return addresses
}

// PlatformURL returns the base URL of the platform stand-in, without a relay in
// between.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress }

// WaitReady waits until every router reports that it is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := f.WaitRouterReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// WaitRouterReady waits until the router of one host reports that it is ready. It
// returns an error if ctx ends first.
func (f *Fleet) WaitRouterReady(ctx context.Context, h Host) error {
	if err := f.client.waitReady(ctx, "http://"+h.Callers+"/readyz"); err != nil {
		return errors.Wrapf(err, "host %s", h.Name)
	}
	return nil
}

func (f *Fleet) waitStandIns(ctx context.Context) error {
	urls := []string{f.PlatformURL() + "/stats"}
	for dcIndex := range f.Deployment.DataCentres {
		for _, role := range []string{roleEngine, roleService} {
			if len(f.UpstreamsOf(role, dcIndex)) > 0 {
				urls = append(urls, "http://"+f.controlAddress(role, dcIndex)+"/counters")
			}
		}
	}
	for _, url := range urls {
		if err := f.client.waitReady(ctx, url); err != nil {
			return err
		}
	}
	return nil
}

// EndedProcesses returns the names of all processes that have ended by now, each
// with its exit error. No process is meant to end before Close, except in
// scenarios that stop processes.
func (f *Fleet) EndedProcesses() []string {
	var ended []string
	for _, p := range f.processes.All() {
		select {
		case <-p.Done():
			ended = append(ended, fmt.Sprintf("%s (%v)", p.Name, p.Err()))
		default:
		}
	}
	return ended
}

// Processes returns all processes started so far, for measurements.
func (f *Fleet) Processes() []*Process { return f.processes.All() }

// stopGrace is the time that processes have to stop before they are killed.
const stopGrace = 5 * time.Second

// Close stops every process and relay and releases the address block.
func (f *Fleet) Close() {
	f.processes.Close(stopGrace)
	if f.Network != nil {
		f.Network.Close()
	}
	_ = f.block.Close()
}

// Kill ends a process immediately with SIGKILL, like a power failure.
func Kill(p *Process) error { return p.Signal(syscall.SIGKILL) }

// Pause suspends a process with SIGSTOP until Continue is called.
func Pause(p *Process) error { return p.Signal(syscall.SIGSTOP) }

// Continue resumes a suspended process with SIGCONT.
func Continue(p *Process) error { return p.Signal(syscall.SIGCONT) }

// Drain asks a process with SIGTERM to finish its work and exit.
func Drain(p *Process) error { return p.Signal(syscall.SIGTERM) }

// hostEntry is one entry of the host list of the platform stand-in.
type hostEntry struct {
	Name       string            `json:"name"`
	Address    string            `json:"address"`
	DataCentre string            `json:"data_centre"`
	Role       string            `json:"role"`
	Service    string            `json:"service,omitempty"`
	Leaving    bool              `json:"leaving"`
	Via        map[string]string `json:"via,omitempty"`
}

// PublishHosts sends the list of all hosts and upstreams to the platform
// stand-in, with their current leaving marks.
func (f *Fleet) PublishHosts(ctx context.Context) error {
	var entries []hostEntry
	for _, h := range f.Hosts {
		entries = append(entries, f.listEntry(h.Name, h.PeerRelay, roleEntry, h.DataCentre))
	}
	for _, u := range f.Upstreams {
		entry := f.listEntry(u.Name, u.Address, u.Role, u.DataCentre)
		if u.Role == roleService {
			entry.Service = f.Deployment.Service
		}
		entries = append(entries, entry)
	}
	return f.client.call(ctx, http.MethodPut, f.PlatformURL()+"/hosts", entries, nil)
}

func (f *Fleet) listEntry(name, address, role string, dcIndex int) hostEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hostEntry{
		Name:       name,
		Address:    address,
		DataCentre: f.Deployment.DataCentres[dcIndex],
		Role:       role,
		Leaving:    f.leaving[name],
		Via:        f.Network.upstreamRelays[address],
	}
}
