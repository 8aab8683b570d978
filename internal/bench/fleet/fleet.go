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

// Names of the programs beside the bench's own.
const (
	programRouter     = "chestnut-router"
	programController = "chestnut-controller"
	programStandIn    = "chestnut-standin"
)

// Config configures a fleet.
type Config struct {
	Deployment workload.Deployment
	// Policy is the routers' policy, "default" or "naive".
	Policy string
	// Seed starts the generators of the relays and stand-ins.
	Seed uint64
	// Programs is the directory of the programs.
	Programs string
	// Logs is the directory for the programs' logs.
	Logs string
	// Engine holds the rates that the stand-in engines are started with.
	Engine workload.Engine
	// ChecksFencing says that engines refuse orders with an old fencing number.
	ChecksFencing bool
	// HostsLag is how long a change of the platform's list stays hidden.
	HostsLag time.Duration
}

// Fleet is the started processes and relays of a run.
type Fleet struct {
	Layout
	Network *Network

	config    Config
	block     *AddressBlock
	processes *Processes
	control   control
	platform  string

	mu          sync.Mutex
	routers     map[string]*Process
	controllers map[string]*Process
	outOfUse    map[string]bool
	leaving     map[string]bool
}

// Start starts the stand-ins and relays, then the system's own processes; they
// become ready once a configuration was submitted.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	block, err := NewAddressBlock()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Layout:      NewLayout(config.Deployment, block),
		config:      config,
		block:       block,
		processes:   NewProcesses(config.Logs),
		control:     newControl(),
		platform:    block.address(netPlatform, 1, portPlatform),
		routers:     make(map[string]*Process),
		controllers: make(map[string]*Process),
		outOfUse:    make(map[string]bool),
		leaving:     make(map[string]bool),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Network, err = newNetwork(f.Layout, f.block, f.platform, f.config.Seed); err != nil {
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

func (f *Fleet) program(name string) string { return filepath.Join(f.config.Programs, name) }

func (f *Fleet) startStandIns() error {
	if _, err := f.processes.Start("platform", f.program(programStandIn), "platform", "--listen", f.platform,
		"--hosts-lag-ms", strconv.FormatInt(f.config.HostsLag.Milliseconds(), 10)); err != nil {
		return err
	}
	for place, name := range f.Deployment.DataCentres {
		if err := f.startUpstreams(place, name); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts one process for the engines and one for the services
// of a data centre.
func (f *Fleet) startUpstreams(place int, name string) error {
	for _, role := range []string{roleEngine, roleService} {
		upstreams := f.UpstreamsOf(role, place)
		if len(upstreams) == 0 {
			continue
		}
		args := f.engineArguments(place, upstreams)
		if role == roleService {
			args = f.serviceArguments(place, upstreams)
		}
		if _, err := f.processes.Start(name+"-"+role+"s", f.program(programStandIn), args...); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) engineArguments(place int, upstreams []Upstream) []string {
	return append(f.upstreamArguments(roleEngine, place, upstreams),
		"--models", f.Deployment.Model+"@"+f.Deployment.ModelVersion,
		"--seed", strconv.FormatUint(f.config.Seed+uint64(place*seedStride), 10),
		"--checks-fencing", strconv.FormatBool(f.config.ChecksFencing),
		"--step", time.Duration(f.config.Engine.BaseStepSeconds*float64(time.Second)).String(),
		"--prefill-rate", strconv.FormatFloat(f.config.Engine.PrefillRate, 'f', -1, 64),
		"--chunk-tokens", strconv.Itoa(f.config.Engine.ChunkTokens),
		"--memory-tokens", strconv.Itoa(f.config.Engine.MemoryTokens),
		"--max-batch", strconv.Itoa(f.config.Engine.MaxBatch),
	)
}

// seedStride keeps the seeds of engines in different processes apart.
const seedStride = 1000

func (f *Fleet) serviceArguments(place int, upstreams []Upstream) []string {
	return append(f.upstreamArguments(roleService, place, upstreams), "--service", f.Deployment.Service)
}

// upstreamArguments are the same for engines and services.
func (f *Fleet) upstreamArguments(role string, place int, upstreams []Upstream) []string {
	ip, port, _ := strings.Cut(upstreams[0].Address, ":")
	return []string{
		role + "s",
		"--count", strconv.Itoa(len(upstreams)),
		"--ip", ip,
		"--base-port", port,
		"--control", f.steering(role, place),
		"--data-centre", f.Deployment.DataCentres[place],
	}
}

// steering is the address of a data centre's stand-ins for faults and counts.
func (f *Fleet) steering(role string, place int) string {
	if role == roleEngine {
		return f.block.address(netPlatform, steeringEngines+place, portSteering)
	}
	return f.block.address(netPlatform, steeringServices+place, portSteering)
}

// StartRouter starts the router of a host.
func (f *Fleet) StartRouter(h Host) error {
	p, err := f.processes.Start(h.Name+"-router", f.program(programRouter),
		"--host", h.Name,
		"--data-centre", f.Deployment.DataCentres[h.DataCentre],
		"--listen", h.Callers,
		"--admin", h.Admin,
		"--peer", h.PeerRelay,
		"--peer-bind", h.Peer,
		"--platform", "http://"+f.Network.platformVia[h.DataCentre],
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

// StartController starts the controller of a host, if there is such a program.
func (f *Fleet) StartController(h Host) error {
	program := f.program(programController)
	if _, err := os.Stat(program); err != nil {
		return nil
	}
	p, err := f.processes.Start(h.Name+"-controller", program,
		"--host", h.Name,
		"--data-centre", f.Deployment.DataCentres[h.DataCentre],
		"--admin", h.ControllerAdmin,
		"--platform", "http://"+f.Network.platformVia[h.DataCentre],
	)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controllers[h.Name] = p
	return nil
}

// ProcessesOf lists the newest processes of a host.
func (f *Fleet) ProcessesOf(host string) []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []*Process{f.routers[host]}
	if p := f.controllers[host]; p != nil {
		all = append(all, p)
	}
	return all
}

// Controller is the newest process of a host's controller, nil without one.
func (f *Fleet) Controller(host string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controllers[host]
}

// IsSystemProcess reports whether a process belongs to the system rather than to the
// stand-ins.
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

// HasControllers reports whether controllers were started.
func (f *Fleet) HasControllers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.controllers) > 0
}

// RemoveFromBalancer takes a host out of the balancer, so that it gets no new requests.
func (f *Fleet) RemoveFromBalancer(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outOfUse[host] = true
}

// AddToBalancer puts a host back behind the balancer.
func (f *Fleet) AddToBalancer(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.outOfUse, host)
}

// IsInBalancer reports whether the balancer uses a host.
func (f *Fleet) IsInBalancer(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.outOfUse[host]
}

// AddressesOf lists the callers' addresses of a data centre that the
// balancer uses.
func (f *Fleet) AddressesOf(dataCentre int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, h := range f.HostsOf(dataCentre) {
		if !f.outOfUse[h.Name] {
			addresses = append(addresses, h.CallersRelay)
		}
	}
	return addresses
}

// PlatformURL is the platform's address without a relay.
func (f *Fleet) PlatformURL() string { return "http://" + f.platform }

// WaitReady waits until every router answers that it is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := f.WaitRouterReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// WaitRouterReady waits until one router answers that it is ready.
func (f *Fleet) WaitRouterReady(ctx context.Context, h Host) error {
	if err := f.control.ready(ctx, "http://"+h.Callers+"/readyz"); err != nil {
		return errors.Wrapf(err, "host %s", h.Name)
	}
	return nil
}

func (f *Fleet) waitStandIns(ctx context.Context) error {
	urls := []string{f.PlatformURL() + "/stats"}
	for place := range f.Deployment.DataCentres {
		for _, role := range []string{roleEngine, roleService} {
			if len(f.UpstreamsOf(role, place)) > 0 {
				urls = append(urls, "http://"+f.steering(role, place)+"/counters")
			}
		}
	}
	for _, url := range urls {
		if err := f.control.ready(ctx, url); err != nil {
			return err
		}
	}
	return nil
}

// EndedProcesses names the processes that have ended although nobody asked them to.
func (f *Fleet) EndedProcesses() []string {
	var dead []string
	for _, p := range f.processes.All() {
		select {
		case <-p.Done():
			dead = append(dead, fmt.Sprintf("%s (%v)", p.Name, p.Err()))
		default:
		}
	}
	return dead
}

// Processes lists all processes by name, for measurements.
func (f *Fleet) Processes() []*Process { return f.processes.All() }

// stopGrace is how long processes may take to stop.
const stopGrace = 5 * time.Second

// Close stops every process and relay and gives the addresses back.
func (f *Fleet) Close() {
	f.processes.Close(stopGrace)
	if f.Network != nil {
		f.Network.Close()
	}
	_ = f.block.Close()
}

// Kill ends a process at once, as a power cut does.
func Kill(p *Process) error { return p.Signal(syscall.SIGKILL) }

// Pause stops a process from running until Continue.
func Pause(p *Process) error { return p.Signal(syscall.SIGSTOP) }

// Continue lets a paused process run.
func Continue(p *Process) error { return p.Signal(syscall.SIGCONT) }

// Drain asks a process to finish its work and exit.
func Drain(p *Process) error { return p.Signal(syscall.SIGTERM) }

// hostEntry is an entry of the platform stand-in's list.
type hostEntry struct {
	Name       string            `json:"name"`
	Address    string            `json:"address"`
	DataCentre string            `json:"data_centre"`
	Role       string            `json:"role"`
	Service    string            `json:"service,omitempty"`
	Leaving    bool              `json:"leaving"`
	Via        map[string]string `json:"via,omitempty"`
}

// PublishHosts gives the platform the list of hosts and upstreams.
func (f *Fleet) PublishHosts(ctx context.Context) error {
	var entries []hostEntry
	for _, h := range f.Hosts {
		entries = append(entries, f.entry(h.Name, h.PeerRelay, roleEntry, h.DataCentre))
	}
	for _, u := range f.Upstreams {
		entry := f.entry(u.Name, u.Address, u.Role, u.DataCentre)
		if u.Role == roleService {
			entry.Service = f.Deployment.Service
		}
		entries = append(entries, entry)
	}
	return f.control.call(ctx, http.MethodPut, f.PlatformURL()+"/hosts", entries, nil)
}

func (f *Fleet) entry(name, address, role string, place int) hostEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hostEntry{
		Name:       name,
		Address:    address,
		DataCentre: f.Deployment.DataCentres[place],
		Role:       role,
		Leaving:    f.leaving[name],
		Via:        f.Network.via[address],
	}
}
