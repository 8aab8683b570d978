package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// check ends the case as one that couldn't run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		if theRig != nil {
			theRig.end()
		}
		os.Exit(2)
	}
}

var theRig *rig

// rig is a small deployment of the gateway, with stand-ins for everything around it.
type rig struct {
	start   time.Time
	dir     string
	network int
	store   *store
	hosts   []*host

	mu    sync.Mutex
	lines []string
}

// host is one gateway.
type host struct {
	name, zone, ip, settings string
	gate                     *gate
	process                  *exec.Cmd
	exited                   chan struct{}
}

const (
	callerPort = 8227
	readyPort  = 8220
)

// newRig finds a free network of loopback addresses.
func newRig() *rig {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	r := &rig{start: time.Now(), dir: dir, store: newStore()}
	for n := 90 + os.Getpid()%100; ; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n%120+100, callerPort))
		if err == nil {
			l.Close()
			r.network = n%120 + 100
			break
		}
		if n > 400 {
			check(err)
		}
	}
	theRig = r
	return r
}

func (r *rig) ip(group, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.network, group, index)
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *rig) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%10.3f  ", at.Sub(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// writeRecord writes the record in the order of time.
func (r *rig) writeRecord(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i][:10] < r.lines[j][:10] })
	var b bytes.Buffer
	for _, line := range r.lines {
		b.WriteString(line + "\n")
	}
	check(os.WriteFile(path, b.Bytes(), 0o644))
}

// bounds are those of an installation's settings.
type bounds struct {
	drainMs, configApplyMs, stableWindowMs, maxSkewMs int
}

// addHost writes the settings of a gateway and starts it with the command of the deploy file.
func (r *rig) addHost(zone string, b bounds) *host {
	i := len(r.hosts) + 1
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: r.ip(1, i)}
	h.gate = r.store.open(r.ip(4, i))
	h.settings = filepath.Join(r.dir, h.name+".toml")
	text := fmt.Sprintf(`node = %q
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "x"
internalPorts = [7340,7355]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
x-a = "x"
x-b = "x"
x-c = "x"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = %d
ackMs = 4000
catchUpS = 4
drainMs = %d
graceS = 8
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
maxSkewMs = %d
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 104
recoverS = 12
passMs = 120
againS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, h.name, h.ip, zone, h.ip, callerPort, h.ip, readyPort, b.stableWindowMs, b.drainMs, b.configApplyMs, b.maxSkewMs, h.gate.addr)
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	r.hosts = append(r.hosts, h)
	r.startHost(h)
	return h
}

// startHost starts the process of a gateway.
func (r *rig) startHost(h *host) {
	log, err := os.OpenFile(filepath.Join(r.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	check(err)
	h.process = exec.Command("target/chestnut-gateway", "--metrics", h.ip+":9464")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "CHESTNUTLINE_SETTINGS=" + h.settings}
	h.process.Stdout, h.process.Stderr = log, log
	check(h.process.Start())
	log.Close()
	h.exited = make(chan struct{})
	r.note("process %d of %s started", h.process.Process.Pid, h.name)
	go func(p *exec.Cmd, exited chan struct{}) {
		err := p.Wait()
		r.note("process %d of %s ended: %v", p.Process.Pid, h.name, err)
		close(exited)
	}(h.process, h.exited)
}

// awaitReady waits until all gateways say that they are ready.
func (r *rig) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range r.hosts {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", h.ip, readyPort))
			if err == nil {
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", h.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("all %d gateways are ready", len(r.hosts))
}

// end ends all processes that the rig started.
func (r *rig) end() {
	for _, h := range r.hosts {
		if h.process != nil && h.process.Process != nil {
			h.process.Process.Kill()
		}
	}
	for _, h := range r.hosts {
		select {
		case <-h.exited:
		case <-time.After(3 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}
