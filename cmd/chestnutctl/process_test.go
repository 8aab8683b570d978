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
	stand "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// patience bounds waits that end as soon as their condition holds.
const patience = 60 * time.Second

// router is one real process.
type router struct {
	name, dataCentre    string
	listen, admin, peer string
	process             *exec.Cmd
	// output is what the process wrote to its error output.
	output bytes.Buffer
}

// system is real routers on an object API in the test's process.
type system struct {
	*bench
	program string
	routers []*router

	mu   sync.Mutex
	best map[string]uint64
}

func newSystem(t *testing.T, dataCentres []string, perDataCentre int) *system {
	t.Helper()
	s := &system{bench: newBench(t), best: make(map[string]uint64)}
	s.program = filepath.Join(t.TempDir(), "chestnut-router")
	if out, err := exec.Command("go", "build", "-o", s.program, "../chestnut-router").CombinedOutput(); err != nil {
		t.Fatalf("build the router: %v: %s", err, out)
	}
	own := reserve(t)
	var listed []stand.HostEntry
	for i := range len(dataCentres) * perDataCentre {
		r := &router{name: fmt.Sprintf("host-%d", i), dataCentre: dataCentres[i%len(dataCentres)]}
		r.listen, r.admin, r.peer = own.address(i, 7101), own.address(i, 7102), own.address(i, 7103)
		s.routers = append(s.routers, r)
		listed = append(listed, stand.HostEntry{Host: platform.Host{Name: r.name, Address: r.peer, DataCentre: r.dataCentre, Role: "entry"}})
	}
	s.platform.Store().SetHosts(listed)
	for _, r := range s.routers {
		s.start(r)
	}
	t.Cleanup(func() {
		for _, r := range s.routers {
			s.kill(r)
			if t.Failed() {
				t.Logf("%s wrote: %s", r.name, r.output.String())
			}
		}
	})
	return s
}

// block is a range of loopback addresses that no other test uses. Ports taken
// for an instant and given back may be taken by others on a busy machine.
type block struct{ third int }

// reserve claims a block for the length of the test, by listening on its first
// address.
func reserve(t *testing.T) block {
	t.Helper()
	for third := range 256 {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.201.%d.1:7100", third))
		if err == nil {
			t.Cleanup(func() { _ = guard.Close() })
			return block{third: third}
		}
	}
	t.Fatal("no block of loopback addresses is free")
	return block{}
}

func (b block) address(host, port int) string {
	return fmt.Sprintf("127.201.%d.%d:%d", b.third, host+2, port)
}

func (s *system) start(r *router) {
	r.process = exec.Command(s.program, "--host", r.name, "--data-centre", r.dataCentre, "--listen", r.listen,
		"--admin", r.admin, "--peer", r.peer, "--platform", s.url, "--seed", "1", "--log-level", "error")
	r.process.Stderr = &r.output
	if err := r.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) kill(r *router) {
	if r.process != nil {
		_ = r.process.Process.Kill()
		_ = r.process.Wait()
		r.process = nil
	}
}

func (s *system) admins(running ...*router) string {
	var all []string
	for _, r := range running {
		all = append(all, r.admin)
	}
	return strings.Join(all, ",")
}

// observe notes every host's version and reports one that fell.
func (s *system) observe(ctx context.Context) {
	admin := operate.Admin{Addresses: strings.Split(s.admins(s.routers...), ",")}
	for ctx.Err() == nil {
		statuses := admin.Status(ctx)
		s.mu.Lock()
		for _, h := range statuses {
			if h.Error == "" && h.ConfigVersion > 0 && h.ConfigVersion < s.best[h.Host] {
				s.t.Errorf("%s went back from version %d to %d", h.Host, s.best[h.Host], h.ConfigVersion)
			}
			if h.Error == "" {
				s.best[h.Host] = max(s.best[h.Host], h.ConfigVersion)
			}
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// accept submits a version and waits until the hosts given have it in force.
func (s *system) accept(share float64, base int, running ...*router) {
	s.t.Helper()
	file := write(s.t, share, "lima-a", "lima-b", "lima-c")
	code, out, text := s.submit(file, base, "--admin", s.admins(running...), "--wait", patience.String(), "--json")
	var r submitResult
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != exitDone || r.Accepted.Version != uint64(base)+1 {
		s.t.Fatalf("version on %d: exit code %d, %v: %s%s", base, code, err, out, text)
	}
	s.t.Logf("version %d is in force on %d hosts after %.2f s", r.Accepted.Version, len(running), r.Seconds)
}

// await waits until the hosts are ready with the version.
func (s *system) await(version uint64, running ...*router) {
	s.t.Helper()
	admin := operate.Admin{Addresses: strings.Split(s.admins(running...), ",")}
	deadline := time.Now().Add(patience)
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

// silenceWatches leaves every host with a watch that never ends, while new
// ones work.
func (s *system) silenceWatches() {
	store := s.platform.Store()
	store.SetFaults(stand.Faults{SilentWatch: true})
	before := store.Stats().Calls[stand.KindWatch]
	for deadline := time.Now().Add(patience); store.Stats().Calls[stand.KindWatch] < before+len(s.routers); {
		if time.Now().After(deadline) {
			s.t.Fatal("the watches are not renewed")
		}
		time.Sleep(50 * time.Millisecond)
	}
	store.SetFaults(stand.Faults{})
}

// inspect asks the real hosts for what the other commands show.
func (s *system) inspect() {
	s.t.Helper()
	admins := s.admins(s.routers...)
	code, out, text := run("status", "--platform", s.url, "--admin", admins, "--json")
	expect(s.t, code, exitDone, out+text, `"in_force_everywhere": true`, `"data_centre": "lima-c"`)
	code, out, text = run("dump", "--admin", admins)
	var dumps []operate.HostDump
	if err := json.Unmarshal([]byte(out), &dumps); err != nil || code != exitDone || len(dumps) != len(s.routers) {
		s.t.Errorf("exit code %d, %v, %d dumps: %s", code, err, len(dumps), text)
	}
	code, out, text = run("account", "no-such-request", "--admin", admins)
	expect(s.t, code, exitFailed, out+text, "no host that answered remembers", "next:")
}

// TestAcceptedConfigurationOnRealProcesses kills one host in three, loses
// answers of the object API, silences its watches and takes it away, while
// versions are accepted; no host ever goes back.
func TestAcceptedConfigurationOnRealProcesses(t *testing.T) {
	s := newSystem(t, []string{"lima-a", "lima-b", "lima-c"}, 2)
	ctx, stop := context.WithCancel(t.Context())
	var observer sync.WaitGroup
	observer.Go(func() { s.observe(ctx) })
	defer observer.Wait()
	defer stop()
	store := s.platform.Store()

	s.accept(1, 0, s.routers...)
	store.SetFaults(stand.Faults{LoseAnswerProbability: 0.3, Seed: 1})
	s.accept(2, 1, s.routers...)
	store.SetFaults(stand.Faults{})
	s.kill(s.routers[0])
	s.kill(s.routers[4])
	s.accept(3, 2, s.routers[1], s.routers[2], s.routers[3], s.routers[5])

	store.SetFaults(stand.Faults{Down: true})
	s.start(s.routers[0])
	s.start(s.routers[4])
	s.await(3, s.routers[0], s.routers[4])
	t.Log("two fresh hosts took version 3 from their peers while the object API was down")

	s.silenceWatches()
	s.accept(4, 3, s.routers...)
	s.inspect()
	stats := store.Stats()
	t.Logf("%d objects, calls %v in %.0f s", stats.Objects, stats.Calls, stats.Seconds)
}
