package promise

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	streams      = 18
	streamTokens = 150
	streamLimit  = 15 * time.Second
	midStream    = time.Second
)

// opened is how many connections engines have accepted, and attempts how
// often they began to work on a request.
func opened(c fleet.Counts) int {
	n := 0
	for _, e := range c.Engines {
		n += e.Connections
	}
	return n
}

func attempts(c fleet.Counts) int {
	n := 0
	for _, e := range c.Engines {
		for _, runs := range e.RunsByRequest {
			n += runs
		}
	}
	return n
}

// streamThrough sends prompts to both hosts, and disturbs the engines while
// the answers are being streamed.
func (w *world) streamThrough(disturb func()) []client.Outcome {
	w.t.Helper()
	var f flight
	before := started(w.counts())
	for i := range streams {
		w.launch(w.ctx, &f, w.host(0, i%2), w.prompt(1000+100*i, streamTokens, streamLimit))
	}
	w.underWay(before, streams)
	time.Sleep(midStream)
	disturb()
	return f.land()
}

func (w *world) silence() {
	for n := range 3 {
		w.fault(w.upstream(roleEngine, 0, n), fleet.UpstreamFault{Kind: "silent"})
	}
}

func TestAnswersStayWholeWhenConnectionsGoSilent(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	connections := 0
	w.all(w.streamThrough(func() {
		connections = opened(w.counts())
		w.silence()
	}))
	if opened(w.counts()) <= connections {
		t.Error("no host opened a new connection to a silent engine")
	}
	w.memoryReturns("all answers are whole", 10*time.Second)
}

// TestAnswersStayWholeWhenEnginesFail kills one engine, which comes back
// empty, and cuts the connections of another while answers are streamed.
func TestAnswersStayWholeWhenEnginesFail(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	w.all(w.streamThrough(func() {
		w.fault(w.upstream(roleEngine, 0, 0), fleet.UpstreamFault{Kind: "die", ForMillis: 3000})
		w.fault(w.upstream(roleEngine, 0, 1), fleet.UpstreamFault{Kind: "cut"})
	}))
	if n := attempts(w.counts()); n <= streams {
		t.Errorf("%d attempts at %d requests: the engine that died had none", n, streams)
	}
	w.memoryReturns("all answers are whole", 10*time.Second)
}

// TestAnswersStayOwnWhenAllFailsAtOnce adds lost answers and silence to the
// death: requests may fail then, but in time, honestly, and never with parts
// of another answer.
func TestAnswersStayOwnWhenAllFailsAtOnce(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	outcomes := w.streamThrough(func() {
		w.silence()
		w.fault(w.upstream(roleEngine, 0, 0), fleet.UpstreamFault{Kind: "die", ForMillis: 2000})
		w.fault(w.upstream(roleEngine, 0, 1), fleet.UpstreamFault{Kind: "lose_answer", Count: 3})
		w.fault(w.upstream(roleEngine, 0, 2), fleet.UpstreamFault{Kind: "freeze", ForMillis: 1500})
	})
	t.Log(tally(outcomes))
	w.right(outcomes)
	w.memoryReturns("all requests have ended", 20*time.Second)
}
