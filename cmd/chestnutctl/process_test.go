package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/operate"
	"github.com/chestnutline/chestnutline/internal/platform"
	standinplatform "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// waitLimit is the longest time of a wait that ends as soon as its condition holds.
const waitLimit = 60 * time.Second

// router is a host's router, which runs as a process of its own.
type router struct {
	name, dataCentre string
	// listen, admin and peer are the addresses of the router.
	listen, admin, peer string
	// process is nil while the router is not running.
	process *exec.Cmd
	// output holds what the process wrote to its error output.
	output bytes.Buffer
}

// routerCluster is a group of real router processes that use an object API in
// the test's process.
type routerCluster struct {
	*fixture
	// routerProgram is the path of the program that the test has built.
	routerProgram string
	routers       []*router

	mu sync.Mutex
	// highestVersion holds, by host, the highest version seen in force.
	highestVersion map[string]uint64
}

// newRouterCluster builds the router program and starts the routers of all data
// centres. It stops them at the end of the test, and logs what they wrote to their
// error outputs if the test failed.
func newRouterCluster(t *testing.T, dataCentres []string, perDataCentre int) *routerCluster {
	t.Helper()
	s := &routerCluster{fixture: newFixture(t), highestVersion: make(map[string]uint64)}
	s.routerProgram = filepath.Join(t.TempDir(), "chestnut-router")
	if out, err := exec.Command("go", "build", "-o", s.routerProgram, "../chestnut-router").CombinedOutput(); err != nil {
		t.Fatalf("build the router: %v: %s", err, out)
	}
	addresses := reserveAddressBlock(t)
	var listed []standinplatform.HostEntry
	for i := range len(dataCentres) * perDataCentre {
		r := &router{name: fmt.Sprintf("host-%d", i), dataCentre: dataCentres[i%len(dataCentres)]}
		r.listen, r.admin, r.peer = addresses.address(i, 7101), addresses.address(i, 7102), addresses.address(i, 7103)
		s.routers = append(s.routers, r)
		listed = append(listed, standinplatform.HostEntry{Host: platform.Host{Name: r.name, Address: r.peer, DataCentre: r.dataCentre, Role: "entry"}})
	}
	s.platform.Store().SetHosts(listed)
	for _, r := range s.routers {
		s.startRouter(r)
	}
	t.Cleanup(func() {
		for _, r := range s.routers {
			s.killRouter(r)
			if t.Failed() {
				t.Logf("%s wrote: %s", r.name, r.output.String())
			}
		}
	})
	return s
}

// addressBlock is a range of loopback addresses that no other test uses. Asking
// the system for free ports, closing them and using them later would be unsafe,
// because other processes may take them meanwhile on a busy machine.
type addressBlock struct{ thirdOctet int }

// reserveAddressBlock reserves a free block for the duration of the test, by
// listening on its first address.
func reserveAddressBlock(t *testing.T) addressBlock {
	t.Helper()
	for third := range 256 {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.201.%d.1:7100", third))
		if err == nil {
			t.Cleanup(func() { _ = guard.Close() })
			return addressBlock{thirdOctet: third}
		}
	}
	t.Fatal("no block of loopback addresses is free")
	return addressBlock{}
}

// address returns the address of a host, counted from 0, with a port.
func (b addressBlock) address(host, port int) string {
	return fmt.Sprintf("127.201.%d.%d:%d", b.thirdOctet, host+2, port)
}

// startRouter starts the process of a router.
func (s *routerCluster) startRouter(r *router) {
	r.process = exec.Command(s.routerProgram, "--host", r.name, "--data-centre", r.dataCentre, "--listen", r.listen,
		"--admin", r.admin, "--peer", r.peer, "--platform", s.url, "--seed", "1", "--log-level", "error")
	r.process.Stderr = &r.output
	if err := r.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// killRouter kills the process of a router, if it is running.
func (s *routerCluster) killRouter(r *router) {
	if r.process != nil {
		_ = r.process.Process.Kill()
		_ = r.process.Wait()
		r.process = nil
	}
}

// adminAddressesOf returns the admin addresses of the routers, as the flag admin
// takes them.
func (s *routerCluster) adminAddressesOf(running ...*router) string {
	var all []string
	for _, r := range running {
		all = append(all, r.admin)
	}
	return strings.Join(all, ",")
}

// watchVersions reads every host's configuration version until the context ends,
// and fails the test if one falls.
func (s *routerCluster) watchVersions(ctx context.Context) {
	admin := operate.Admin{Addresses: strings.Split(s.adminAddressesOf(s.routers...), ",")}
	for ctx.Err() == nil {
		statuses := admin.Status(ctx)
		s.mu.Lock()
		for _, h := range statuses {
			if h.Error == "" && h.ConfigVersion > 0 && h.ConfigVersion < s.highestVersion[h.Host] {
				s.t.Errorf("%s went back from version %d to %d", h.Host, s.highestVersion[h.Host], h.ConfigVersion)
			}
			if h.Error == "" {
				s.highestVersion[h.Host] = max(s.highestVersion[h.Host], h.ConfigVersion)
			}
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// submitAndWait submits a version on a base version and waits until the given
// routers have it in force.
func (s *routerCluster) submitAndWait(share float64, base int, running ...*router) {
	s.t.Helper()
	file := writeConfiguration(s.t, share, "lima-a", "lima-b", "lima-c")
	code, out, text := s.submit(file, base, "--admin", s.adminAddressesOf(running...), "--wait", waitLimit.String(), "--json")
	var r submitResult
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != exitDone || r.Accepted.Version != uint64(base)+1 {
		s.t.Fatalf("version on %d: exit code %d, %v: %s%s", base, code, err, out, text)
	}
	s.t.Logf("version %d is in force on %d hosts after %.2f s", r.Accepted.Version, len(running), r.Seconds)
}

// waitReady waits until the given routers are ready with at least the version.
func (s *routerCluster) waitReady(version uint64, running ...*router) {
	s.t.Helper()
	admin := operate.Admin{Addresses: strings.Split(s.adminAddressesOf(running...), ",")}
	deadline := time.Now().Add(waitLimit)
	for {
		done := 0
		statuses := admin.Status(s.t.Context())
		for _, h := range statuses {
			if h.Ready && h.ConfigVersion >= version {
				done++
			}
		}
		if done == len(running) {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("not ready with version %d: %+v", version, statuses)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// silenceWatches leaves the watch that each host has open without an answer for
// ever. Watches that are opened later work.
func (s *routerCluster) silenceWatches() {
	store := s.platform.Store()
	store.SetFaults(standinplatform.Faults{SilentWatch: true})
	before := store.Stats().Calls[standinplatform.KindWatch]
	for deadline := time.Now().Add(waitLimit); store.Stats().Calls[standinplatform.KindWatch] < before+len(s.routers); {
		if time.Now().After(deadline) {
			s.t.Fatal("the watches are not renewed")
		}
		time.Sleep(50 * time.Millisecond)
	}
	store.SetFaults(standinplatform.Faults{})
}

// checkInspectionCommands runs status, dump and account against the real hosts.
func (s *routerCluster) checkInspectionCommands() {
	s.t.Helper()
	admins := s.adminAddressesOf(s.routers...)
	code, out, text := runTool("status", "--platform", s.url, "--admin", admins, "--json")
	expectOutcome(s.t, code, exitDone, out+text, `"in_force_everywhere": true`, `"data_centre": "lima-c"`)
	code, out, text = runTool("dump", "--admin", admins)
	var dumps []operate.HostDump
	if err := json.Unmarshal([]byte(out), &dumps); err != nil || code != exitDone || len(dumps) != len(s.routers) {
		s.t.Errorf("exit code %d, %v, %d dumps: %s", code, err, len(dumps), text)
	}
	code, out, text = runTool("account", "no-such-request", "--admin", admins)
	expectOutcome(s.t, code, exitFailed, out+text, "no host that answered remembers", "next:")
}

// TestAcceptedVersionsReachRealRoutersThroughFaults checks that accepted versions
// come in force on real router processes in spite of faults, and that no host
// goes back to an older version. The test loses answers of the object API, kills
// one host in three, restarts them while the object API is down, so that they
// have to learn the configuration from their peers, and silences the watches.
func TestAcceptedVersionsReachRealRoutersThroughFaults(t *testing.T) {
	s := newRouterCluster(t, []string{"lima-a", "lima-b", "lima-c"}, 2)
	ctx, stop := context.WithCancel(t.Context())
	var observer sync.WaitGroup
	observer.Go(func() { s.watchVersions(ctx) })
	defer observer.Wait()
	defer stop()
	store := s.platform.Store()

	s.submitAndWait(1, 0, s.routers...)
	store.SetFaults(standinplatform.Faults{LoseAnswerProbability: 0.3, Seed: 1})
	s.submitAndWait(2, 1, s.routers...)
	store.SetFaults(standinplatform.Faults{})
	s.killRouter(s.routers[0])
	s.killRouter(s.routers[4])
	s.submitAndWait(3, 2, s.routers[1], s.routers[2], s.routers[3], s.routers[5])

	store.SetFaults(standinplatform.Faults{Down: true})
	s.startRouter(s.routers[0])
	s.startRouter(s.routers[4])
	s.waitReady(3, s.routers[0], s.routers[4])
	t.Log("two fresh hosts took version 3 from their peers while the object API was down")

	s.silenceWatches()
	s.submitAndWait(4, 3, s.routers...)
	s.checkInspectionCommands()
	stats := store.Stats()
	t.Logf("%d objects, calls %v in %.0f s", stats.Objects, stats.Calls, stats.Seconds)
}
