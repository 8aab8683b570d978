package balance

import (
	"testing"
	"time"
)

func reservations(effects []Effect) []ReserveMemory {
	var found []ReserveMemory
	for _, e := range effects {
		if r, ok := e.(ReserveMemory); ok {
			found = append(found, r)
		}
	}
	return found
}

// TestServerThatTakesNoOrderIsNotAskedAgain has a server of a group be out of
// reach. Groups once asked the servers behind a cut again and again.
func TestServerThatTakesNoOrderIsNotAskedAgain(t *testing.T) {
	c := newFaultCore(t)
	asked := reservations(c.Step(0, arrival(1, bookRoute, "llm", 300000, 0)))
	if len(asked) < 2 {
		t.Fatalf("%d reservations", len(asked))
	}
	lost := asked[0].Member.Upstream
	c.Step(time.Millisecond, ReservationResult{RequestNumber: 1, Attempt: 1, Upstream: lost, Class: FailureNotConnected})
	again := reservations(c.Step(200*time.Millisecond, Tick{}))
	if len(again) < 2 {
		t.Fatalf("%d reservations in the second try", len(again))
	}
	for _, r := range again {
		if r.Member.Upstream == lost {
			t.Error("the server out of reach was asked again after 0.2 s")
		}
	}
}

// TestFewServersHoldAPrompt has more servers read a prompt than hold it: each
// reservation is an order, and one that is refused ends the group.
func TestFewServersHoldAPrompt(t *testing.T) {
	w := newWorld(PolicyPredict, 1, 16, 1)
	const prompt, answer = 400000, 500
	effects := w.cores[0].Step(0, arrival(1, bookRoute, "llm", prompt, 0))
	asked := reservations(effects)
	tokens := 0
	for _, r := range asked {
		tokens += r.Member.ReservedTokens
	}
	if len(asked) > 4 || tokens < prompt {
		t.Errorf("%d reservations of %d tokens together", len(asked), tokens)
	}
	var send *Send
	for _, r := range asked {
		send = sent(w.cores[0].Step(time.Millisecond, ReservationResult{RequestNumber: 1, Attempt: 1, Upstream: r.Member.Upstream, OK: true}))
	}
	if send == nil || len(send.Members) <= len(asked) {
		t.Fatalf("%+v", send)
	}
	for i, m := range send.Members {
		if (m.Ticket != "") != (i < len(asked)) {
			t.Errorf("member %d has ticket %q", i, m.Ticket)
		}
	}
}

// TestWhatCannotBeInTimeIsRefusedAtOnce has callers whose time limit is nearer
// than the reading of their prompt on all servers takes.
func TestWhatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	c := newFaultCore(t)
	late := arrival(1, bookRoute, "llm", 200000, 0)
	late.Deadline = 500 * time.Millisecond
	r := refused(c.Step(0, late))
	if r == nil || r.Code != CodeTooLate || r.RetryAfter != 0 {
		t.Fatalf("%+v", r)
	}
	soon := arrival(2, bookRoute, "llm", 200000, 0)
	soon.Deadline = 3 * time.Second
	if sent(c.Step(0, soon)) == nil {
		t.Error("a prompt that four servers read in a second was not sent")
	}
}

// TestWaitingEndsWhenItIsTooLate fills the servers: a waiting request is
// refused once no answer could come in its time any more.
func TestWaitingEndsWhenItIsTooLate(t *testing.T) {
	c := newFaultCore(t)
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
		u.backoff = 0
	}
	waits := arrival(1, shortRoute, "llm", 40000, 0)
	waits.Deadline = time.Second
	if r := refused(c.Step(0, waits)); r != nil {
		t.Fatalf("refused at once: %+v", r)
	}
	for at := 20 * time.Millisecond; at < time.Second; at += 20 * time.Millisecond {
		if r := refused(c.Step(at, Tick{})); r != nil {
			if left := waits.Deadline - at; left < 50*time.Millisecond {
				t.Errorf("refused %v before its time limit", left)
			}
			return
		}
	}
	t.Error("waited to its time limit")
}
