package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// kit is one run of a scenario: a small deployment of gateways with stand-ins of the
// store, the servers and the consumers.
type kit struct {
	trouble  bool
	dir      string
	store    *store
	serverIP string
	subnet   string
	gateways []*gateway
	zones    []string

	mu      sync.Mutex
	log     *bufio.Writer
	logFile *os.File
	began   time.Time
	number  int
	reached map[string]int
}

// newKit opens record.txt in the case's folder and starts the store.
func newKit(folder string) *kit {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	k := &kit{trouble: os.Getenv("TROUBLE") != "0", logFile: file, log: bufio.NewWriter(file), began: time.Now()}
	k.zones = []string{"lima-a", "lima-b", "lima-c"}
	k.subnet = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	k.serverIP = k.subnet + "200"
	if k.dir, err = os.MkdirTemp("", "review"); err != nil {
		k.fail("%v", err)
	}
	if k.store, err = newStore(k.subnet + "250"); err != nil {
		k.fail("%v", err)
	}
	k.record("began", "trouble", fmt.Sprint(k.trouble))
	return k
}

// record writes one line: the time since the start in ms, what happened, and fields.
func (k *kit) record(what string, fields ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fmt.Fprintf(k.log, "%8.1f %s", float64(time.Since(k.began).Microseconds())/1000, what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(k.log, " %s=%s", fields[i], fields[i+1])
	}
	fmt.Fprintln(k.log)
}

// close ends all processes that the run started and completes the record.
func (k *kit) close() {
	for _, g := range k.gateways {
		g.kill()
	}
	k.mu.Lock()
	k.log.Flush()
	k.logFile.Close()
	k.mu.Unlock()
	os.RemoveAll(k.dir)
}

// fail ends a run that could not be made.
func (k *kit) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.record("could_not_run", "reason", text)
	fmt.Fprintln(os.Stderr, text)
	k.close()
	os.Exit(2)
}

// finish reports the verdict and ends the run.
func (k *kit) finish(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.record("verdict", "broken", fmt.Sprint(broken), "text", text)
	fmt.Println(text)
	k.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// gateway is one machine's process of the project.
type gateway struct {
	kit      *kit
	name     string
	zone     string
	ip       string
	settings string
	front    string
	ready    string
	metrics  string
	cmd      *exec.Cmd
	exited   chan struct{}
	output   *os.File
}

// freePorts returns ports in a row that are free at an address; nil if there are none.
func freePorts(ip string, count int) []int {
	for range 100 {
		first := 20000 + rand.IntN(10000)
		var ports []int
		for i := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				break
			}
			l.Close()
			ports = append(ports, first+i)
		}
		if len(ports) == count {
			return ports
		}
	}
	return nil
}

// startGateways starts a number of machines, spread over the zones, and waits until all
// of them are ready.
func (k *kit) startGateways(count int) {
	for i := range count {
		zone := k.zones[i%len(k.zones)]
		g := &gateway{kit: k, zone: zone, name: fmt.Sprintf("front-%s-%d", zone, i/len(k.zones)+1), ip: fmt.Sprintf("%s%d", k.subnet, i+1)}
		ports := freePorts(g.ip, 5)
		if ports == nil {
			k.fail("no free ports at %s", g.ip)
		}
		g.front, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
		g.metrics = fmt.Sprintf("%s:%d", g.ip, ports[2])
		peers := ports[3]
		g.settings = filepath.Join(k.dir, g.name+".toml")
		if err := os.WriteFile(g.settings, []byte(g.settingsText(peers)), 0o600); err != nil {
			k.fail("%v", err)
		}
		k.gateways = append(k.gateways, g)
		g.start()
	}
	for _, g := range k.gateways {
		g.awaitReady(20 * time.Second)
	}
}

func (g *gateway) settingsText(peers int) string {
	return strings.NewReplacer(
		"NAME", g.name, "ZONE", g.zone, "FRONT", g.front, "READY", g.ready, "STORE", g.kit.store.address,
		"PEERS", fmt.Sprintf("%d,%d", peers, peers+1), "IP", g.ip,
	).Replace(`node = "NAME"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "IP"
zone = "ZONE"
region = "lima"
internalPorts = [PEERS]
seeds = []
bootstrap = true
faultDomainMember = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
lima-a = "lima"
lima-b = "lima"
lima-c = "lima"
[listen]
front = "FRONT"
ready = "READY"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
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
address = "STORE"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	var err error
	if g.output, err = os.OpenFile(filepath.Join(g.kit.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		g.kit.fail("%v", err)
	}
	g.cmd = exec.Command("target/chestnut-gateway", "--metrics", g.metrics)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTLINE_SETTINGS=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = g.output, g.output
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		g.kit.fail("start %s: %v", g.name, err)
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		g.kit.record("process_ended", "machine", g.name, "state", cmd.ProcessState.String(), "error", fmt.Sprint(err))
		close(exited)
	}(g.cmd, g.exited)
	g.kit.record("process_started", "machine", g.name, "pid", fmt.Sprint(g.cmd.Process.Pid))
}

func (g *gateway) signal(s syscall.Signal) {
	g.kit.record("signal", "machine", g.name, "signal", s.String())
	g.cmd.Process.Signal(s)
}

func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	g.cmd.Process.Kill()
	select {
	case <-g.exited:
	case <-time.After(3 * time.Second):
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if text, err := os.ReadFile(filepath.Join(g.kit.dir, g.name+".log")); err == nil {
			os.WriteFile(filepath.Join(keep, g.name+".log"), text, 0o600)
		}
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			g.kit.record("ready", "machine", g.name)
			return
		}
	}
	g.kit.fail("%s was not ready within %v", g.name, limit)
}

// configure writes a version of the configuration.
func (k *kit) configure(version int, routes, services []map[string]any) {
	k.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "desk", "apiKeys": []string{"key-of-desk"}, "priority": 1}},
	})
	k.record("configured", "version", fmt.Sprint(version))
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}
}

func route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 2, "service": service, "maxAttempts": attempts, "public": false,
	}
}

// call is one consumer attempt.
type call struct {
	method, path string
	body         string
	header       map[string]string
	deadline     time.Duration
}

// answer is what a consumer got. The error is set if the channel ended or stayed silent.
type answer struct {
	id       string
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	sentAt   time.Time
	took     time.Duration
}

// send makes one attempt on a new channel to a machine, and records it. The consumer
// waits until its deadline and a little longer.
func (k *kit) send(g *gateway, c call) answer {
	k.mu.Lock()
	k.number++
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), k.number)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+300*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.front+c.path, strings.NewReader(c.body))
	if err != nil {
		k.fail("%v", err)
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token key-of-desk")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	a := answer{id: id, sentAt: time.Now()}
	k.record("sent", "request", id, "machine", g.name, "method", c.method, "path", c.path)
	response, err := transport.RoundTrip(request)
	if err == nil {
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = readAll(response)
		response.Body.Close()
	}
	a.err, a.complete, a.took = err, err == nil, time.Since(a.sentAt)
	fields := []string{"request", id, "status", fmt.Sprint(a.status), "complete", fmt.Sprint(a.complete), "bytes", fmt.Sprint(len(a.body)), "took_ms", fmt.Sprint(a.took.Milliseconds())}
	if err != nil {
		fields = append(fields, "error", fmt.Sprintf("%q", err.Error()))
	}
	k.record("answered", fields...)
	return a
}

func osFlag(name string) bool { return os.Getenv(name) == "1" }

// noteRun remembers that a request has reached a server.
func (k *kit) noteRun(request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reached == nil {
		k.reached = make(map[string]int)
	}
	k.reached[request]++
}

// reachedServer reports whether a request has reached a server.
func (k *kit) reachedServer(request string) bool { return k.runs(request) > 0 }

func (k *kit) runs(request string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reached[request]
}
