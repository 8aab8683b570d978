package promise

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	// streams is the number of prompts whose answers are streamed at the same time.
	streams = 18
	// streamTokens is the length of each answer, in tokens.
	streamTokens = 150
	// streamLimit is the time limit of a prompt.
	streamLimit = 15 * time.Second
	// midStreamDelay is the time from the start of the prompts until the faults
	// are injected; the answers are being streamed then.
	midStreamDelay = time.Second
)

// acceptedConnections returns the number of connections that engines have accepted.
func acceptedConnections(c fleet.Counts) int {
	n := 0
	for _, e := range c.Engines {
		n += e.Connections
	}
	return n
}

// countAttempts returns how many times engines began to work on requests, with
// every attempt of a request counted.
func countAttempts(c fleet.Counts) int {
	n := 0
	for _, e := range c.Engines {
		for _, runs := range e.RunsByRequest {
			n += runs
		}
	}
	return n
}

// streamDuring sends prompts to both hosts, and calls disturb, which injects
// faults into the engines, while the answers are being streamed.
func (w *fixture) streamDuring(disturb func()) []client.Outcome {
	w.t.Helper()
	var f requestGroup
	before := startedRequests(w.counts())
	for i := range streams {
		w.sendAsync(w.ctx, &f, w.host(0, i%2), w.promptRequest(1000+100*i, streamTokens, streamLimit))
	}
	w.waitUntilStarted(before, streams)
	time.Sleep(midStreamDelay)
	disturb()
	return f.waitAll()
}

// silenceEngines makes the open connections of three engines silent.
func (w *fixture) silenceEngines() {
	for n := range 3 {
		w.setUpstreamFault(w.upstream(roleEngine, 0, n), fleet.UpstreamFault{Kind: "silent"})
	}
}

// TestAnswersAreCompleteWhenConnectionsGoSilent guards against answers that are
// lost or cut short because a connection to an engine stays open but carries
// nothing any more.
func TestAnswersAreCompleteWhenConnectionsGoSilent(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	connections := 0
	w.checkAllDelivered(w.streamDuring(func() {
		connections = acceptedConnections(w.counts())
		w.silenceEngines()
	}))
	if acceptedConnections(w.counts()) <= connections {
		t.Error("no host opened a new connection to a silent engine")
	}
	w.checkMemoryReleased("all answers are whole", 10*time.Second)
}

// TestAnswersAreCompleteWhenEnginesFail kills one engine, which restarts without
// its work, and closes the connections of another while answers are streamed.
func TestAnswersAreCompleteWhenEnginesFail(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	w.checkAllDelivered(w.streamDuring(func() {
		w.setUpstreamFault(w.upstream(roleEngine, 0, 0), fleet.UpstreamFault{Kind: "die", ForMillis: 3000})
		w.setUpstreamFault(w.upstream(roleEngine, 0, 1), fleet.UpstreamFault{Kind: "cut"})
	}))
	if n := countAttempts(w.counts()); n <= streams {
		t.Errorf("%d attempts at %d requests: the engine that died had none", n, streams)
	}
	w.checkMemoryReleased("all answers are whole", 10*time.Second)
}

// TestAnswersAreNeverMixedWhenEverythingFails combines the death of an engine with
// lost answers, silent connections and a frozen engine. Requests may fail then,
// but within their limit, with a true statement of whether they were run, and
// never with parts of another answer.
func TestAnswersAreNeverMixedWhenEverythingFails(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	outcomes := w.streamDuring(func() {
		w.silenceEngines()
		w.setUpstreamFault(w.upstream(roleEngine, 0, 0), fleet.UpstreamFault{Kind: "die", ForMillis: 2000})
		w.setUpstreamFault(w.upstream(roleEngine, 0, 1), fleet.UpstreamFault{Kind: "lose_answer", Count: 3})
		w.setUpstreamFault(w.upstream(roleEngine, 0, 2), fleet.UpstreamFault{Kind: "freeze", ForMillis: 1500})
	})
	t.Log(countByOutcome(outcomes))
	w.checkOutcomes(outcomes)
	w.checkMemoryReleased("all requests have ended", 20*time.Second)
}
