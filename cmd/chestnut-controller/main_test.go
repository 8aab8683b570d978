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
	// asProgram makes the test's own binary run the program instead of the tests.
	asProgram = "CHESTNUT_CONTROLLER_TEST_PROGRAM"
	// patience bounds each wait; none is needed for the verdict.
	patience   = time.Minute
	dataCentre = "lima-a"
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// place is a platform, two engines and two controllers.
type place struct {
	t        *testing.T
	store    platform.Store
	engines  []*standinengine.Engine
	gate     *gate
	client   *engine.HTTPClient
	programs []*controllerProgram
}

type controllerProgram struct {
	command *exec.Cmd
	admin   string
}

func newPlace(t *testing.T, checks bool) *place {
	t.Helper()
	server := standin.New(standin.DefaultConfig())
	api := httptest.NewServer(server.Handler())
	t.Cleanup(api.Close)
	p := &place{t: t, store: server.Store().From(dataCentre), client: engine.NewHTTPClient(httpcall.DefaultConfig())}
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
	p.gate = newGate(t, p.engines[0].Address())
	server.Store().SetHosts([]standin.HostEntry{
		p.entry("host-1", "127.0.0.1:1", "entry"), p.entry("host-2", "127.0.0.1:2", "entry"),
		p.entry("engine-1", p.gate.address, "engine"), p.entry("engine-2", p.engines[1].Address(), "engine"),
	})
	p.submit("1", 0)
	for _, host := range []string{"host-1", "host-2"} {
		p.programs = append(p.programs, startController(t, host, api.URL))
	}
	return p
}

func (p *place) entry(name, address, role string) standin.HostEntry {
	return standin.HostEntry{Host: platform.Host{Name: name, Address: address, DataCentre: dataCentre, Role: role}}
}

func (p *place) submit(version string, base uint64) {
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

func startController(t *testing.T, host, platformURL string) *controllerProgram {
	t.Helper()
	address := freeAddress(t)
	c := exec.Command(os.Args[0],
		"--host", host, "--data-centre", dataCentre, "--admin", address, "--platform", platformURL,
		"--lease-duration", "2s", "--lease-margin", "300ms", "--lease-renew", "500ms",
		"--start-spread", "0s", "--order-timeout", "1s")
	c.Env = append(os.Environ(), asProgram+"=1")
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

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (c *controllerProgram) holds() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.admin + "/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s admin.Status
	return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Holder
}

// wait waits until something holds, and returns after how many seconds.
func (p *place) wait(what string, holds func() bool) float64 {
	p.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > patience {
			p.t.Fatalf("%s: not within %v", what, patience)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began).Seconds()
}

func (p *place) status(i int) engine.Status {
	s, err := p.client.Status(context.Background(), p.engines[i].Address())
	if err != nil {
		return engine.Status{}
	}
	return s
}

// serves says whether all engines serve one version and no other.
func (p *place) serves(version string) bool {
	for i := range p.engines {
		if s := p.status(i); len(s.Models) != 1 || s.Models[0] != "judge@"+version {
			return false
		}
	}
	return true
}

// gate passes an engine's calls on, and holds one order back once it is shut.
type gate struct {
	address string
	shut    chan struct{}
	held    chan *http.Request
	open    chan struct{}
	passed  chan int
}

func newGate(t *testing.T, to string) *gate {
	t.Helper()
	g := &gate{shut: make(chan struct{}, 1), held: make(chan *http.Request, 1), open: make(chan struct{}), passed: make(chan int, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, to) }))
	t.Cleanup(server.Close)
	g.address = strings.TrimPrefix(server.URL, "http://")
	return g
}

func (g *gate) serve(w http.ResponseWriter, r *http.Request, to string) {
	var body json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&body)
	status := 0
	if strings.Contains(string(body), `"load"`) {
		select {
		case <-g.shut:
			g.held <- r
			<-g.open
			defer func() { g.passed <- status }()
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

// pauseHolderInOrder changes the version and stops the holder with the order
// to the first engine under way. It returns the holder and the other one.
func (p *place) pauseHolderInOrder() (holder, other *controllerProgram) {
	p.t.Helper()
	p.wait("a holder with both engines in hand", func() bool { return p.status(0).LastFencing == 1 && p.status(1).LastFencing == 1 })
	holder, other = p.programs[0], p.programs[1]
	if !holder.holds() {
		holder, other = other, holder
	}
	p.gate.shut <- struct{}{}
	p.submit("2", 1)
	select {
	case <-p.gate.held:
	case <-time.After(patience):
		p.t.Fatal("no order came")
	}
	if err := holder.command.Process.Signal(syscall.SIGSTOP); err != nil {
		p.t.Fatal(err)
	}
	return holder, other
}

// TestPausedHolder pauses the holder beyond its lease while its order is on
// the way. The order arrives after the other controller has taken over, and
// takes no effect, whether the engine checks fencing numbers or not.
func TestPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		name := "engines check fencing"
		if !checks {
			name = "engines ignore fencing"
		}
		t.Run(name, func(t *testing.T) {
			p := newPlace(t, checks)
			old, other := p.pauseHolderInOrder()
			seconds := p.wait("the other one takes over", other.holds)
			t.Logf("%s: another holder after %.1f s", name, seconds)
			p.wait("version 2 on both engines", func() bool { return p.serves("2") && p.status(0).LastFencing == 2 })
			close(p.gate.open)
			answer := <-p.gate.passed
			if err := old.command.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			p.wait("the old holder knows", func() bool { return !old.holds() })
			c := p.engines[0].Counters(false)
			if c.OrdersStale != 0 || p.engines[1].Counters(false).OrdersStale != 0 || !p.serves("2") {
				t.Fatalf("an old order took effect: %+v", c)
			}
			if checks && (answer != http.StatusPreconditionFailed || c.OrdersFenced != 1) || !checks && c.OrdersDuplicate != 1 {
				t.Fatalf("the old order was answered %d: %+v", answer, c)
			}
			p.strayOrder(checks)
		})
	}
}

// strayOrder sends the second engine an order of the first term whose ID it
// has not run. Where it takes effect, the state is repaired.
func (p *place) strayOrder(checks bool) {
	p.t.Helper()
	stray := engine.Order{ID: "stray", Fencing: 1, Unload: []string{"judge@2"}}
	err := p.client.Order(context.Background(), p.engines[1].Address(), stray)
	if (err != nil) != checks {
		p.t.Fatalf("the stray order: %v", err)
	}
	if checks {
		return
	}
	seconds := p.wait("the state is repaired", func() bool { return slices.Equal(p.status(1).Models, []string{"judge@2"}) })
	p.t.Logf("an order of an earlier holder in effect was repaired after %.1f s", seconds)
}

// TestStoppedHolderGivesTheLeaseUp stops the holder as an operator does.
func TestStoppedHolderGivesTheLeaseUp(t *testing.T) {
	p := newPlace(t, true)
	p.wait("a holder", func() bool { return p.programs[0].holds() || p.programs[1].holds() })
	holder, other := p.programs[0], p.programs[1]
	if !holder.holds() {
		holder, other = other, holder
	}
	if err := holder.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := holder.command.Wait(); err != nil {
		t.Fatalf("the stopped controller: %v", err)
	}
	seconds := p.wait("the other one takes over", other.holds)
	t.Logf("another holder %.1f s after the stop", seconds)
	o, err := p.store.Get(context.Background(), lease.Key(dataCentre))
	if err != nil {
		t.Fatal(err)
	}
	if r, err := lease.ParseRecord(o.Value); err != nil || r.Fencing != 2 || r.Released {
		t.Fatalf("lease %+v: %v", r, err)
	}
}
