package promise

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/configuration/registry"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/standin/answer"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

const (
	seed = 1
	// testLimit bounds one test.
	testLimit = 40 * time.Second
	// poll is the pause between two looks at a condition.
	poll = 50 * time.Millisecond
	// spacing is the time between two requests of a series.
	spacing = 40 * time.Millisecond
	// warmUp is how long hosts get to learn of the upstreams once ready.
	warmUp = 1500 * time.Millisecond
	// slack is what a busy machine may add to a time limit: the answer is
	// written in time, but read by a caller that also has to be scheduled.
	slack = 500 * time.Millisecond

	roleEngine  = "engine"
	roleService = "service"

	policyDefault = "default"
	policyNaive   = "naive"
)

// shape is the size of a test's fleet.
type shape struct {
	dataCentres, engines, hosts int
	policy                      string
	hostsLag                    time.Duration
}

// world is a started fleet and its callers.
type world struct {
	t       *testing.T
	ctx     context.Context
	fleet   *fleet.Fleet
	client  *client.Client
	version uint64
	texts   atomic.Uint64
}

// start starts a fleet with a configuration in force, and stops it at the
// test's end. The logs of a failed test are kept where the environment's
// CHESTNUT_TEST_LOGS says.
func start(t *testing.T, s shape) *world {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	f, err := fleet.Start(ctx, fleet.Config{
		Deployment: workload.OrderDesk().WithSize(s.dataCentres, s.engines, s.hosts),
		Policy:     s.policy, Seed: seed, Programs: programs, Logs: logs(t),
		Engine: rates(), ChecksFencing: true, HostsLag: s.hostsLag,
	})
	must(t, err)
	t.Cleanup(f.Close)
	w := &world{t: t, ctx: ctx, fleet: f}
	w.client = client.New(f.Deployment.Model, workload.NewTextPool(seed), answer.AnswerToken)
	t.Cleanup(w.client.Close)
	w.version = w.submit(f.Deployment.Configuration(), 0)
	must(t, f.WaitReady(ctx))
	time.Sleep(warmUp)
	return w
}

func logs(t *testing.T) string {
	kept := os.Getenv("CHESTNUT_TEST_LOGS")
	if kept == "" {
		return t.TempDir()
	}
	directory := filepath.Join(kept, t.Name())
	must(t, os.MkdirAll(directory, 0o700))
	return directory
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func rates() workload.Engine {
	c := batch.DefaultConfig()
	return workload.Engine{
		BaseStepSeconds: c.BaseStep.Seconds(), PrefillRate: c.PrefillRate,
		ChunkTokens: c.ChunkTokens, MemoryTokens: c.MemoryTokens, MaxBatch: c.MaxBatch,
	}
}

// submit makes c the accepted configuration and returns its version.
func (w *world) submit(c *intent.Configuration, base uint64) uint64 {
	w.t.Helper()
	store, err := platform.NewClient(platform.ClientConfig{BaseURL: w.fleet.PlatformURL()})
	must(w.t, err)
	defer store.Close()
	change, err := registry.Submit(w.ctx, store, *c, base, "test", "promise")
	must(w.t, err)
	return change.Version
}

// prompt is a model request with a text of its own.
func (w *world) prompt(tokens, answerTokens int, limit time.Duration) *workload.Request {
	class := workload.ClassOf(tokens)
	d := w.fleet.Deployment
	return &workload.Request{
		Class: class, Kind: d.KindByClass[class], Organisation: d.Organisations[0].Name,
		PromptTokens: tokens, AnswerTokens: answerTokens, TextSeed: w.texts.Add(1), TimeLimit: limit,
	}
}

// action is a service call that may not be repeated.
func (w *world) action(key string) *workload.Request {
	d := w.fleet.Deployment
	return &workload.Request{
		Class: workload.ClassService, Kind: d.ActionKinds[0], Service: d.Service,
		Organisation: d.Organisations[0].Name, TimeLimit: workload.TimeLimit(workload.ClassService, 0),
		IdempotencyKey: key, TextSeed: 1,
	}
}

// host is a host of a data centre, both counted from 0.
func (w *world) host(dataCentre, number int) fleet.Host {
	return w.fleet.HostsOf(dataCentre)[number]
}

func (w *world) upstream(role string, dataCentre, number int) fleet.Upstream {
	return w.fleet.UpstreamsOf(role, dataCentre)[number]
}

// send sends a request to a host and waits for its end. A host that can't be
// reached shows as a broken outcome of status 0.
func (w *world) send(ctx context.Context, h fleet.Host, r *workload.Request) client.Outcome {
	o, _ := w.client.Send(ctx, client.Sending{Request: r, Address: h.Callers, Due: time.Now()})
	return o
}

// flight is requests being answered.
type flight struct {
	wait     sync.WaitGroup
	mu       sync.Mutex
	outcomes []client.Outcome
}

// launch sends a request in the background.
func (w *world) launch(ctx context.Context, f *flight, h fleet.Host, r *workload.Request) {
	f.wait.Go(func() {
		o := w.send(ctx, h, r)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.outcomes = append(f.outcomes, o)
	})
}

// land waits for the end of all requests.
func (f *flight) land() []client.Outcome {
	f.wait.Wait()
	return f.outcomes
}

// fault orders an upstream to fail.
func (w *world) fault(u fleet.Upstream, order fleet.UpstreamFault) {
	w.t.Helper()
	must(w.t, w.fleet.SetUpstreamFault(w.ctx, u, order))
}

func (w *world) faultAll(role string, order fleet.UpstreamFault) {
	w.t.Helper()
	for place := range w.fleet.Deployment.DataCentres {
		for _, u := range w.fleet.UpstreamsOf(role, place) {
			w.fault(u, order)
		}
	}
}

func (w *world) platform(faults fleet.PlatformFaults) {
	w.t.Helper()
	must(w.t, w.fleet.SetPlatformFaults(w.ctx, faults))
}

func (w *world) counts() fleet.Counts {
	w.t.Helper()
	c, err := w.fleet.Counts(w.ctx, true)
	must(w.t, err)
	return c
}

// holds waits until a condition holds, and reports whether it did in time.
func (w *world) holds(limit time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(poll)
	}
	return true
}

// eventually fails the test unless a condition holds in time.
func (w *world) eventually(what string, limit time.Duration, condition func() bool) {
	w.t.Helper()
	if !w.holds(limit, condition) {
		w.t.Fatalf("not within %s: %s", limit, what)
	}
}

// started is how many requests engines have begun to work on so far.
func started(c fleet.Counts) int {
	n := 0
	for _, e := range c.Engines {
		n += len(e.RunsByRequest)
	}
	return n
}

// underWay waits until engines work on n more requests than before.
func (w *world) underWay(before, n int) {
	w.t.Helper()
	w.eventually("engines work on the requests", 10*time.Second, func() bool {
		counts := w.counts()
		return started(counts) >= before+n && counts.MemoryHeld() > 0
	})
}

// tally counts outcomes by what was told, for the log of a test.
func tally(outcomes []client.Outcome) map[string]int {
	counted := make(map[string]int)
	for _, o := range outcomes {
		counted[strings.TrimSpace(string(o.Result)+" "+o.Code+" "+o.Told)]++
	}
	return counted
}

// delivered counts the outcomes with a whole answer.
func delivered(outcomes []client.Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Result == client.Delivered {
			n++
		}
	}
	return n
}

// wrongs lists what no outcome may be, whatever failed: an answer with foreign
// or missing parts, an end after the limit or without a word, and a not_run of
// a request that an upstream ran.
func wrongs(outcomes []client.Outcome, counts fleet.Counts) []string {
	var list []string
	for _, o := range outcomes {
		switch {
		case o.Result == client.Wrong:
			list = append(list, "answer is "+o.Fault.String())
		case o.Result == client.Broken:
			list = append(list, "no word: "+o.Detail)
		case o.Late(slack):
			list = append(list, "late by "+o.Overrun().String()+" as "+string(o.Result))
		case o.Told == client.ToldNotRun && counts.RanRequest(o.RequestID):
			list = append(list, "told not_run but ran: "+o.RequestID+" "+o.Code)
		}
	}
	return list
}

// right fails the test for each wrong outcome.
func (w *world) right(outcomes []client.Outcome) {
	w.t.Helper()
	for _, wrong := range wrongs(outcomes, w.counts()) {
		w.t.Error(wrong)
	}
}

// all fails the test unless every request got its whole answer.
func (w *world) all(outcomes []client.Outcome) {
	w.t.Helper()
	w.right(outcomes)
	for _, o := range outcomes {
		if o.Result != client.Delivered {
			w.t.Errorf("%s to %s: %s, status %d, code %s, %s %s after %s", o.Request.Kind, o.Address, o.Result,
				o.Status, o.Code, o.Told, o.Detail, (o.End - o.Sent).Round(time.Millisecond))
		}
	}
}

// router is the newest process of a host's router.
func (w *world) router(h fleet.Host) *fleet.Process { return w.fleet.ProcessesOf(h.Name)[0] }
