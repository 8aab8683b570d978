package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/admin"
	"github.com/chestnutline/chestnutline/internal/configuration/registry"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/platform"
	standinengine "github.com/chestnutline/chestnutline/internal/standin/engine"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

const (
	// runProgramVariable is the environment variable that makes the test binary
	// run the program instead of the tests.
	runProgramVariable = "CHESTNUT_CONTROLLER_TEST_PROGRAM"
	// waitLimit bounds each wait, so that a failing test ends. The results of
	// the tests do not depend on it.
	waitLimit  = time.Minute
	dataCentre = "lima-a"
)

func TestMain(m *testing.M) {
	if os.Getenv(runProgramVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// deployment is a simulated platform, two simulated engines and two controller
// processes.
type deployment struct {
	t           *testing.T
	store       platform.Store
	engines     []*standinengine.Engine
	orderGate   *gate
	client      *engine.HTTPClient
	controllers []*controllerProgram
}

// controllerProgram is a running controller process; admin is the address of
// its HTTP server for operators.
type controllerProgram struct {
	command *exec.Cmd
	admin   string
}

// newDeployment starts a deployment. checks makes the engines check fencing
// numbers. The first engine is reached through a gate.
func newDeployment(t *testing.T, checks bool) *deployment {
	t.Helper()
	server := standin.NewServer(standin.DefaultConfig())
	api := httptest.NewServer(server.Handler())
	t.Cleanup(api.Close)
	p := &deployment{t: t, store: server.Store().ViewFrom(dataCentre), client: engine.NewHTTPClient(httpcall.DefaultConfig())}
	t.Cleanup(p.client.Close)
	for range 2 {
		c := standinengine.DefaultConfig()
		c.Models, c.ChecksFencing, c.ModelLoadTime = []string{"judge@1"}, checks, 100*time.Millisecond
		e, err := standinengine.Start(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		p.engines = append(p.engines, e)
	}
	p.orderGate = newGate(t, p.engines[0].Address())
	server.Store().SetHosts([]standin.HostEntry{
		p.hostEntry("host-1", "127.0.0.1:1", "entry"), p.hostEntry("host-2", "127.0.0.1:2", "entry"),
		p.hostEntry("engine-1", p.orderGate.address, "engine"), p.hostEntry("engine-2", p.engines[1].Address(), "engine"),
	})
	p.submit("1", 0)
	for _, host := range []string{"host-1", "host-2"} {
		p.controllers = append(p.controllers, startController(t, host, api.URL))
	}
	return p
}

// hostEntry returns an entry of the platform's list of hosts.
func (p *deployment) hostEntry(name, address, role string) standin.HostEntry {
	return standin.HostEntry{Host: platform.Host{Name: name, Address: address, DataCentre: dataCentre, Role: role}}
}

// submit submits a configuration that places the given version of one model on
// all engines.
func (p *deployment) submit(version string, base uint64) {
	p.t.Helper()
	c := intent.New()
	c.AddDataCentres("lima", dataCentre)
	c.AddModel(intent.NewModel("judge", version, 1000).PlacedIn(dataCentre, 0))
	c.AddKinds(intent.ModelKind("comment"))
	c.AddOrganisations(intent.NewOrganisation("org-1", 1))
	if _, err := registry.Submit(context.Background(), p.store, *c, base, "test", "version "+version); err != nil {
		p.t.Fatal(err)
	}
}

// startController starts a controller process and kills it at the end of the
// test.
func startController(t *testing.T, host, platformURL string) *controllerProgram {
	t.Helper()
	address := freeAddress(t)
	c := exec.Command(os.Args[0],
		"--host", host, "--data-centre", dataCentre, "--admin", address, "--platform", platformURL,
		"--lease-duration", "2s", "--lease-margin", "300ms", "--lease-renew", "500ms",
		"--start-spread", "0s", "--order-timeout", "1s")
	c.Env = append(os.Environ(), runProgramVariable+"=1")
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return &controllerProgram{command: c, admin: address}
}

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// holdsLease reports whether the controller answers that it holds the lease.
func (c *controllerProgram) holdsLease() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.admin + "/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s admin.Status
	return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Holder
}

// waitFor waits until a condition holds, and returns how many seconds that
// took.
func (p *deployment) waitFor(what string, condition func() bool) float64 {
	p.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > waitLimit {
			p.t.Fatalf("%s: not reached within %v", what, waitLimit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began).Seconds()
}

// engineStatus returns the status of an engine, or an empty one if the read
// fails.
func (p *deployment) engineStatus(i int) engine.Status {
	s, err := p.client.Status(context.Background(), p.engines[i].Address())
	if err != nil {
		return engine.Status{}
	}
	return s
}

// allServe reports whether all engines serve the given version and no other.
func (p *deployment) allServe(version string) bool {
	for i := range p.engines {
		if s := p.engineStatus(i); len(s.Models) != 1 || s.Models[0] != "judge@"+version {
			return false
		}
	}
	return true
}

// gate is a proxy in front of an engine. Once told to, it holds one order back
// until it is released.
type gate struct {
	address string
	// holdNext makes the gate hold the next order that loads a model; that
	// order arrives on held. Closing release lets it pass, and answered then
	// carries the engine's status code.
	holdNext chan struct{}
	held     chan *http.Request
	release  chan struct{}
	answered chan int
}

// newGate starts a gate in front of the engine with the given address.
func newGate(t *testing.T, to string) *gate {
	t.Helper()
	g := &gate{holdNext: make(chan struct{}, 1), held: make(chan *http.Request, 1), release: make(chan struct{}), answered: make(chan int, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, to) }))
	t.Cleanup(server.Close)
	g.address = strings.TrimPrefix(server.URL, "http://")
	return g
}

// serve forwards a request to the engine and the answer back to the controller.
func (g *gate) serve(w http.ResponseWriter, r *http.Request, to string) {
	var body json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&body)
	status := 0
	if strings.Contains(string(body), `"load"`) {
		select {
		case <-g.holdNext:
			g.held <- r
			<-g.release
			defer func() { g.answered <- status }()
		default:
		}
	}
	out, err := http.NewRequest(r.Method, "http://"+to+r.URL.String(), strings.NewReader(string(body)))
	if err != nil {
		return
	}
	out.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	status = resp.StatusCode
	w.WriteHeader(status)
	var answer json.RawMessage
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	_, _ = w.Write(answer)
}

// pauseHolderInOrder submits a new version and pauses the holder while its
// order to the first engine is in flight. It returns the holder and the other
// controller.
func (p *deployment) pauseHolderInOrder() (holder, other *controllerProgram) {
	p.t.Helper()
	p.waitFor("both engines report the first fencing number", func() bool { return p.engineStatus(0).LastFencing == 1 && p.engineStatus(1).LastFencing == 1 })
	holder, other = p.controllers[0], p.controllers[1]
	if !holder.holdsLease() {
		holder, other = other, holder
	}
	p.orderGate.holdNext <- struct{}{}
	p.submit("2", 1)
	select {
	case <-p.orderGate.held:
	case <-time.After(waitLimit):
		p.t.Fatal("no order arrived at the gate")
	}
	if err := holder.command.Process.Signal(syscall.SIGSTOP); err != nil {
		p.t.Fatal(err)
	}
	return holder, other
}

// TestOrderOfPausedHolderTakesNoEffect pauses the holder for longer than its
// lease while its order is in flight. The order arrives after the other
// controller has taken over. It must take no effect, whether or not the engine
// checks fencing numbers.
func TestOrderOfPausedHolderTakesNoEffect(t *testing.T) {
	for _, checks := range []bool{true, false} {
		name := "engines check fencing"
		if !checks {
			name = "engines ignore fencing"
		}
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, checks)
			old, other := p.pauseHolderInOrder()
			seconds := p.waitFor("the other controller takes over", other.holdsLease)
			t.Logf("%s: the other controller held the lease after %.1f s", name, seconds)
			p.waitFor("both engines serve version 2", func() bool { return p.allServe("2") && p.engineStatus(0).LastFencing == 2 })
			close(p.orderGate.release)
			answer := <-p.orderGate.answered
			if err := old.command.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			p.waitFor("the old holder learns that it lost the lease", func() bool { return !old.holdsLease() })
			c := p.engines[0].Counters(false)
			if c.OrdersStale != 0 || p.engines[1].Counters(false).OrdersStale != 0 || !p.allServe("2") {
				t.Fatalf("an old order took effect: %+v", c)
			}
			if checks && (answer != http.StatusPreconditionFailed || c.OrdersFenced != 1) || !checks && c.OrdersDuplicate != 1 {
				t.Fatalf("the old order was answered %d: %+v", answer, c)
			}
			p.checkStrayOrder(checks)
		})
	}
}

// checkStrayOrder sends the second engine an order of the first term with an ID
// that the engine has not run. Engines that check fencing numbers must refuse
// it. On the others it takes effect, and the holder must repair the state.
func (p *deployment) checkStrayOrder(checks bool) {
	p.t.Helper()
	stray := engine.Order{ID: "stray", Fencing: 1, Unload: []string{"judge@2"}}
	err := p.client.Order(context.Background(), p.engines[1].Address(), stray)
	if (err != nil) != checks {
		p.t.Fatalf("the stray order: %v", err)
	}
	if checks {
		return
	}
	seconds := p.waitFor("the second engine serves the version again", func() bool { return slices.Equal(p.engineStatus(1).Models, []string{"judge@2"}) })
	p.t.Logf("the effect of an earlier holder's order was repaired after %.1f s", seconds)
}

// TestStoppedHolderReleasesLease stops the holder with SIGTERM, as an operator
// does, and checks that the other controller takes over.
func TestStoppedHolderReleasesLease(t *testing.T) {
	p := newDeployment(t, true)
	p.waitFor("one controller holds the lease", func() bool { return p.controllers[0].holdsLease() || p.controllers[1].holdsLease() })
	holder, other := p.controllers[0], p.controllers[1]
	if !holder.holdsLease() {
		holder, other = other, holder
	}
	if err := holder.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := holder.command.Wait(); err != nil {
		t.Fatalf("the stopped controller: %v", err)
	}
	seconds := p.waitFor("the other controller takes over", other.holdsLease)
	t.Logf("the other controller held the lease %.1f s after the stop", seconds)
	o, err := p.store.Get(context.Background(), lease.Key(dataCentre))
	if err != nil {
		t.Fatal(err)
	}
	if r, err := lease.ParseRecord(o.Value); err != nil || r.Fencing != 2 || r.Released {
		t.Fatalf("lease %+v: %v", r, err)
	}
}
