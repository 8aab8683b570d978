package balance

import (
	"testing"
	"time"
)

// reserveEffects returns all ReserveMemory effects.
func reserveEffects(effects []Effect) []ReserveMemory {
	var found []ReserveMemory
	for _, e := range effects {
		if r, ok := e.(ReserveMemory); ok {
			found = append(found, r)
		}
	}
	return found
}

// TestUnreachableServerIsNotAskedForMemoryAgain makes a server of a group
// unreachable. It guards against groups that ask servers behind a network cut
// for memory again and again.
func TestUnreachableServerIsNotAskedForMemoryAgain(t *testing.T) {
	c := newTestCore(t)
	asked := reserveEffects(c.Step(0, newArrival(1, longPromptRoute, "llm", 300000, 0)))
	if len(asked) < 2 {
		t.Fatalf("%d reservations", len(asked))
	}
	unreachable := asked[0].Member.Upstream
	c.Step(time.Millisecond, ReservationResult{RequestNumber: 1, Attempt: 1, Upstream: unreachable, Class: FailureNotConnected})
	retried := reserveEffects(c.Step(200*time.Millisecond, Tick{}))
	if len(retried) < 2 {
		t.Fatalf("%d reservations in the second attempt", len(retried))
	}
	for _, r := range retried {
		if r.Member.Upstream == unreachable {
			t.Error("the server out of reach was asked again after 0.2 s")
		}
	}
}

// TestFewServersHoldMemoryOfLongPrompt checks that more servers prefill a
// prompt than hold its memory. Each reservation is a separate command to a
// server, and a single refusal ends the attempt.
func TestFewServersHoldMemoryOfLongPrompt(t *testing.T) {
	sim := newSimulation(PolicyPredict, 1, 16, 1)
	const promptTokens, answerTokens = 400000, 500
	effects := sim.cores[0].Step(0, newArrival(1, longPromptRoute, "llm", promptTokens, 0))
	asked := reserveEffects(effects)
	tokens := 0
	for _, r := range asked {
		tokens += r.Member.ReservedTokens
	}
	if len(asked) > 4 || tokens < promptTokens {
		t.Errorf("%d reservations of %d tokens together", len(asked), tokens)
	}
	var send *Send
	for _, r := range asked {
		send = firstSend(sim.cores[0].Step(time.Millisecond, ReservationResult{RequestNumber: 1, Attempt: 1, Upstream: r.Member.Upstream, OK: true}))
	}
	if send == nil || len(send.Members) <= len(asked) {
		t.Fatalf("%+v", send)
	}
	for i, m := range send.Members {
		if (m.ReservationID != "") != (i < len(asked)) {
			t.Errorf("member %d has the reservation id %q", i, m.ReservationID)
		}
	}
}

// TestRequestWithTooShortTimeLimitIsRefusedAtOnce has a caller whose time limit
// is shorter than the prefill of its prompt takes on all servers together.
func TestRequestWithTooShortTimeLimitIsRefusedAtOnce(t *testing.T) {
	c := newTestCore(t)
	tooLate := newArrival(1, longPromptRoute, "llm", 200000, 0)
	tooLate.Deadline = 500 * time.Millisecond
	r := firstRefuse(c.Step(0, tooLate))
	if r == nil || r.Code != CodeTooLate || r.RetryAfter != 0 {
		t.Fatalf("%+v", r)
	}
	possible := newArrival(2, longPromptRoute, "llm", 200000, 0)
	possible.Deadline = 3 * time.Second
	if firstSend(c.Step(0, possible)) == nil {
		t.Error("a prompt that four servers can prefill in a second was not sent")
	}
}

// TestWaitingRequestIsRefusedBeforeItsDeadline makes all servers unavailable. A
// waiting request must be refused once no answer could come within its time
// limit any more.
func TestWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	c := newTestCore(t)
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
		u.backoff = 0
	}
	waiting := newArrival(1, shortRoute, "llm", 40000, 0)
	waiting.Deadline = time.Second
	if r := firstRefuse(c.Step(0, waiting)); r != nil {
		t.Fatalf("refused at once: %+v", r)
	}
	for at := 20 * time.Millisecond; at < time.Second; at += 20 * time.Millisecond {
		if r := firstRefuse(c.Step(at, Tick{})); r != nil {
			if left := waiting.Deadline - at; left < 50*time.Millisecond {
				t.Errorf("refused %v before its time limit", left)
			}
			return
		}
	}
	t.Error("the request waited until its time limit")
}
