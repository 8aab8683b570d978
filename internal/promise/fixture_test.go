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
	// seed is the seed of the fleet and of the prompts' texts.
	seed = 1
	// testLimit is the time limit of one test.
	testLimit = 40 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// requestSpacing is the time between two requests that are sent one after the other.
	requestSpacing = 40 * time.Millisecond
	// warmUpTime is the time that hosts get, once they are ready, to discover the upstreams.
	warmUpTime = 1500 * time.Millisecond
	// limitSlack is how much later than its time limit a request may end on a busy
	// machine. The host writes the answer in time, but the caller that reads it has
	// to be scheduled too.
	limitSlack = 500 * time.Millisecond

	// The roles of upstreams.
	roleEngine  = "engine"
	roleService = "service"

	// The policies of the routers. The naive policy retries after errors and makes
	// no claims, so that the tests can show that their checks detect repeated
	// actions.
	policyDefault = "default"
	policyNaive   = "naive"
)

// fleetSize holds the size of a test's fleet and the settings in which the tests'
// fleets differ.
type fleetSize struct {
	dataCentres, engines, hosts int
	// policy is the policy of the routers.
	policy string
	// hostListLag is the delay of changes to the platform's list of hosts.
	hostListLag time.Duration
}

// fixture is a running fleet with a client that sends requests to it.
type fixture struct {
	t      *testing.T
	ctx    context.Context
	fleet  *fleet.Fleet
	client *client.Client
	// acceptedVersion is the newest configuration version that was accepted.
	acceptedVersion uint64
	// nextTextSeed counts the prompts, so that each has a text of its own.
	nextTextSeed atomic.Uint64
}

// startFleet starts a fleet, waits until it has a configuration in force, and
// stops it at the end of the test. If the environment variable
// CHESTNUT_TEST_LOGS names a directory, the logs of the processes are kept there.
func startFleet(t *testing.T, s fleetSize) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	f, err := fleet.Start(ctx, fleet.Config{
		Deployment: workload.OrderDesk().WithSize(s.dataCentres, s.engines, s.hosts),
		Policy:     s.policy, Seed: seed, Programs: programs, Logs: logDirectory(t),
		Engine: engineRates(), ChecksFencing: true, HostsLag: s.hostListLag,
	})
	requireNoError(t, err)
	t.Cleanup(f.Close)
	w := &fixture{t: t, ctx: ctx, fleet: f}
	w.client = client.New(f.Deployment.Model, workload.NewTextPool(seed), answer.AnswerToken)
	t.Cleanup(w.client.Close)
	w.acceptedVersion = w.submit(f.Deployment.Configuration(), 0)
	requireNoError(t, f.WaitReady(ctx))
	time.Sleep(warmUpTime)
	return w
}

// logDirectory returns the directory for the logs of the test's processes.
func logDirectory(t *testing.T) string {
	keptLogs := os.Getenv("CHESTNUT_TEST_LOGS")
	if keptLogs == "" {
		return t.TempDir()
	}
	directory := filepath.Join(keptLogs, t.Name())
	requireNoError(t, os.MkdirAll(directory, 0o700))
	return directory
}

// requireNoError ends the test if there is an error.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// engineRates returns the default rates and sizes of the stand-in engines.
func engineRates() workload.Engine {
	c := batch.DefaultConfig()
	return workload.Engine{
		BaseStepSeconds: c.BaseStep.Seconds(), PrefillRate: c.PrefillRate,
		ChunkTokens: c.ChunkTokens, MemoryTokens: c.MemoryTokens, MaxBatch: c.MaxBatch,
	}
}

// submit submits c on the version base and returns the accepted version.
func (w *fixture) submit(c *intent.Configuration, base uint64) uint64 {
	w.t.Helper()
	store, err := platform.NewClient(platform.ClientConfig{BaseURL: w.fleet.PlatformURL()})
	requireNoError(w.t, err)
	defer store.Close()
	change, err := registry.Submit(w.ctx, store, *c, base, "test", "promise")
	requireNoError(w.t, err)
	return change.Version
}

// promptRequest returns a model request whose text no other request has.
func (w *fixture) promptRequest(tokens, answerTokens int, limit time.Duration) *workload.Request {
	class := workload.ClassOf(tokens)
	d := w.fleet.Deployment
	return &workload.Request{
		Class: class, Kind: d.KindByClass[class], Organisation: d.Organisations[0].Name,
		PromptTokens: tokens, AnswerTokens: answerTokens, TextSeed: w.nextTextSeed.Add(1), TimeLimit: limit,
	}
}

// actionRequest returns a service call that may not be repeated, with an
// idempotency key.
func (w *fixture) actionRequest(key string) *workload.Request {
	d := w.fleet.Deployment
	return &workload.Request{
		Class: workload.ClassService, Kind: d.ActionKinds[0], Service: d.Service,
		Organisation: d.Organisations[0].Name, TimeLimit: workload.TimeLimit(workload.ClassService, 0),
		IdempotencyKey: key, TextSeed: 1,
	}
}

// host returns a host of a data centre; both are counted from 0.
func (w *fixture) host(dataCentre, number int) fleet.Host {
	return w.fleet.HostsOf(dataCentre)[number]
}

// upstream returns an upstream of a role in a data centre; both numbers are
// counted from 0.
func (w *fixture) upstream(role string, dataCentre, number int) fleet.Upstream {
	return w.fleet.UpstreamsOf(role, dataCentre)[number]
}

// send sends a request to a host and waits for its end. If the host can't be
// reached, the outcome is client.Broken with the status 0.
func (w *fixture) send(ctx context.Context, h fleet.Host, r *workload.Request) client.Outcome {
	o, _ := w.client.Send(ctx, client.Attempt{Request: r, Address: h.Callers, Due: time.Now()})
	return o
}

// requestGroup is a group of requests that run at the same time.
type requestGroup struct {
	pending sync.WaitGroup
	mu      sync.Mutex
	// outcomes holds the outcomes of the requests that have ended.
	outcomes []client.Outcome
}

// sendAsync sends a request in the background and adds its outcome to the group.
func (w *fixture) sendAsync(ctx context.Context, f *requestGroup, h fleet.Host, r *workload.Request) {
	f.pending.Go(func() {
		o := w.send(ctx, h, r)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.outcomes = append(f.outcomes, o)
	})
}

// waitAll waits for the end of all requests and returns their outcomes.
func (f *requestGroup) waitAll() []client.Outcome {
	f.pending.Wait()
	return f.outcomes
}

// setUpstreamFault makes an upstream fail in the given way.
func (w *fixture) setUpstreamFault(u fleet.Upstream, fault fleet.UpstreamFault) {
	w.t.Helper()
	requireNoError(w.t, w.fleet.SetUpstreamFault(w.ctx, u, fault))
}

// setFaultOnAll makes all upstreams of a role fail in the given way.
func (w *fixture) setFaultOnAll(role string, fault fleet.UpstreamFault) {
	w.t.Helper()
	for dataCentre := range w.fleet.Deployment.DataCentres {
		for _, u := range w.fleet.UpstreamsOf(role, dataCentre) {
			w.setUpstreamFault(u, fault)
		}
	}
}

// setPlatformFaults makes the platform fail in the given way; the zero value ends
// all its faults.
func (w *fixture) setPlatformFaults(faults fleet.PlatformFaults) {
	w.t.Helper()
	requireNoError(w.t, w.fleet.SetPlatformFaults(w.ctx, faults))
}

// counts returns what the upstreams have counted so far.
func (w *fixture) counts() fleet.Counts {
	w.t.Helper()
	c, err := w.fleet.Counts(w.ctx, true)
	requireNoError(w.t, err)
	return c
}

// waitFor waits until a condition holds, and reports whether it did so within the limit.
func (w *fixture) waitFor(limit time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// eventually ends the test as failed if a condition does not hold within the limit.
func (w *fixture) eventually(what string, limit time.Duration, condition func() bool) {
	w.t.Helper()
	if !w.waitFor(limit, condition) {
		w.t.Fatalf("not within %s: %s", limit, what)
	}
}

// startedRequests returns the number of requests that engines have begun to work
// on so far.
func startedRequests(c fleet.Counts) int {
	n := 0
	for _, e := range c.Engines {
		n += len(e.RunsByRequest)
	}
	return n
}

// waitUntilStarted waits until engines have begun to work on n more requests than
// before, and hold memory.
func (w *fixture) waitUntilStarted(before, n int) {
	w.t.Helper()
	w.eventually("engines work on the requests", 10*time.Second, func() bool {
		counts := w.counts()
		return startedRequests(counts) >= before+n && counts.MemoryHeld() > 0
	})
}

// countByOutcome counts the outcomes by result, code and what the caller was told
// about execution, for the log of a test.
func countByOutcome(outcomes []client.Outcome) map[string]int {
	counted := make(map[string]int)
	for _, o := range outcomes {
		counted[strings.TrimSpace(string(o.Result)+" "+o.Code+" "+o.ProblemOutcome)]++
	}
	return counted
}

// countDelivered counts the outcomes with a complete answer.
func countDelivered(outcomes []client.Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Result == client.Delivered {
			n++
		}
	}
	return n
}

// violations lists the outcomes that break a guarantee, whatever fault was
// injected: an answer with missing parts or parts of another answer, a request
// that ended after its limit or without any answer, and an answer of not_run for
// a request that an upstream ran.
func violations(outcomes []client.Outcome, counts fleet.Counts) []string {
	var list []string
	for _, o := range outcomes {
		switch {
		case o.Result == client.Wrong:
			list = append(list, "answer is "+o.Fault.String())
		case o.Result == client.Broken:
			list = append(list, "no answer: "+o.Detail)
		case o.Late(limitSlack):
			list = append(list, "late by "+o.Overrun().String()+" as "+string(o.Result))
		case o.ProblemOutcome == client.ProblemNotRun && counts.RanRequest(o.RequestID):
			list = append(list, "reported as not_run but ran: "+o.RequestID+" "+o.Code)
		}
	}
	return list
}

// checkOutcomes reports each outcome that breaks a guarantee as an error of the test.
func (w *fixture) checkOutcomes(outcomes []client.Outcome) {
	w.t.Helper()
	for _, wrong := range violations(outcomes, w.counts()) {
		w.t.Error(wrong)
	}
}

// checkAllDelivered reports an error of the test for each request that did not
// get its complete answer.
func (w *fixture) checkAllDelivered(outcomes []client.Outcome) {
	w.t.Helper()
	w.checkOutcomes(outcomes)
	for _, o := range outcomes {
		if o.Result != client.Delivered {
			w.t.Errorf("%s to %s: %s, status %d, code %s, %s %s after %s", o.Request.Kind, o.Address, o.Result,
				o.Status, o.Code, o.ProblemOutcome, o.Detail, (o.End - o.Sent).Round(time.Millisecond))
		}
	}
}

// routerProcess returns the newest process of a host's router.
func (w *fixture) routerProcess(h fleet.Host) *fleet.Process { return w.fleet.ProcessesOf(h.Name)[0] }
