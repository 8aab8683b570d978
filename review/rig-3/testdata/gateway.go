package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ports of every host, each of which has a loopback address of its own.
const (
	frontPort, readyPort, firstInternal, lastInternal = 8227, 8220, 7340, 7355
	storePort, serverPort                             = 8223, 8080
)

// network is a range of loopback addresses in which no port of a case is taken.
type network struct{ prefix string }

func newNetwork() (network, error) {
	for try := 0; try < 50; try++ {
		n := network{fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try*37)%200, 1+(os.Getpid()/200+try)%250)}
		free := true
		for host := 1; host < 130 && free; host++ {
			for _, port := range []int{frontPort, readyPort, firstInternal, lastInternal, storePort, serverPort, 9464} {
				l, err := net.Listen("tcp", n.address(host, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return network{}, fmt.Errorf("no free addresses")
}

func (n network) ip(host int) string            { return fmt.Sprintf("%s.%d", n.prefix, host) }
func (n network) address(host, port int) string { return fmt.Sprintf("%s:%d", n.ip(host), port) }

// gateway is one process of the project.
type gateway struct {
	net     network
	host    int
	zone    string
	dir     string
	command *exec.Cmd
	ended   chan struct{}
	started int
	// store is the address of the platform's store.
	store string
}

const settingsText = `node = "front-%[3]s-%[2]d"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "%[1]s"
zone = "%[3]s"
region = "lima"
internalPorts = [%[5]d,%[6]d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
lima-a = "lima"
lima-b = "lima"
lima-c = "lima"
[listen]
front = "%[1]s:%[7]d"
ready = "%[1]s:%[8]d"
[limits]
cpuShare = 0.8
cores = 1
memoryMb = 536
maxFds = 8192
linkMbps = 200.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = 4000
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 6000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 228
recoverS = 15
passMs = 200
againS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
address = "%[4]s"
form = "objects"
writesPerS = 1200
readsPerS = 6000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

func newGateway(n network, host int, zone, dir string) *gateway {
	return &gateway{net: n, host: host, zone: zone, dir: dir, store: n.address(1, storePort)}
}

func (g *gateway) front() string { return g.net.address(g.host, frontPort) }

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	settings := filepath.Join(g.dir, fmt.Sprintf("local-%d.toml", g.host))
	text := fmt.Sprintf(settingsText, g.net.ip(g.host), g.host, g.zone, g.store, firstInternal, lastInternal, frontPort, readyPort)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := ""
	for _, line := range strings.Split(string(deploy), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(value, `"`)
		}
	}
	words := strings.Fields(strings.ReplaceAll(run, "{{ip}}", g.net.ip(g.host)))
	if len(words) == 0 {
		return fmt.Errorf("deploy file names no command")
	}
	g.started++
	log, err := os.Create(filepath.Join(g.dir, fmt.Sprintf("gateway-%d-%d.log", g.host, g.started)))
	if err != nil {
		return err
	}
	g.command = exec.Command(words[0], words[1:]...)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "CHESTNUTLINE_SETTINGS=" + settings}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	command := g.command
	go func() {
		_ = command.Wait()
		log.Close()
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
}

func (g *gateway) alive() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// ready asks the readiness address once.
func (g *gateway) ready(timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.net.address(g.host, readyPort)+"/v1/ready", nil)
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, err := g.ready(time.Second); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %d is not ready after %v", g.host, limit)
}
