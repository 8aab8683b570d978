package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// good is a history in which all promises are kept: one request of each kind
// at each second, and two versions.
func good() *History {
	h := &History{
		Versions: []Version{
			{Number: 1, Keys: []string{steadyKey, rotatingKey(1)}},
			{Number: 2, At: 10 * time.Second, Acknowledged: 10 * time.Second, Keys: []string{steadyKey, rotatingKey(2)}},
		},
		LastFault: 20 * time.Second,
	}
	for second := range 40 {
		for _, kind := range []Kind{Often, Once, Stream} {
			h.serve(fmt.Sprintf("%s-%02d", kind, second), kind, time.Duration(second)*time.Second)
		}
	}
	return h
}

// serve adds a request that was answered as it should be.
func (h *History) serve(id string, kind Kind, at time.Duration) {
	h.Runs = append(h.Runs, Execution{Request: id, Server: "s", At: at})
	call := Call{
		ID: id, Kind: kind, Host: "h", Boot: 1, Key: steadyKey, Sent: at, Ended: at + 100*time.Millisecond,
		Limit: time.Second, Status: http.StatusOK, Body: standin.FormatCallResponse("s", id), Signed: true,
	}
	if kind == Stream {
		call.Body = wholeStream(id)
	}
	h.Calls = append(h.Calls, call)
}

// sorted brings the runs into the order in which they are collected.
func (h *History) sorted() *History {
	w := &world{history: *h}
	sorted := w.collect()
	return &sorted
}

func (h *History) call(id string) *Call {
	for i := range h.Calls {
		if h.Calls[i].ID == id {
			return &h.Calls[i]
		}
	}
	return nil
}

func TestAGoodHistoryBreaksNothing(t *testing.T) {
	NewWithT(t).Expect(Check(good().sorted())).To(BeEmpty())
}

// wrong are histories of programs that break one promise each.
var wrong = []struct {
	promise, how string
	spoil        func(h *History)
}{
	{"answers are whole and one's own", "a stream that ends early and looks complete", func(h *History) {
		c := h.call("stream-05")
		c.Body = c.Body[:len(c.Body)-20]
	}},
	{"answers are whole and one's own", "another request's stream", func(h *History) { h.call("stream-05").Body = wholeStream("stream-06") }},
	{"answers are whole and one's own", "another request's answer", func(h *History) { h.call("once-05").Body = standin.FormatCallResponse("s", "once-06") }},
	{"answers are whole and one's own", "a success of the system's own", func(h *History) { h.call("once-05").Signed = false }},
	{"answers are whole and one's own", "events twice in a stream that broke off", func(h *History) {
		c := h.call("stream-05")
		c.Broken, c.Body = true, standin.FormatEvent(c.ID, 0)+standin.FormatEvent(c.ID, 0)
		h.Faults = append(h.Faults, Span{Fault: serverReset, Target: "s", From: c.Sent, To: c.Ended})
	}},
	{"what may not be repeated runs once at most", "a repeat", func(h *History) {
		h.Runs = append(h.Runs, Execution{Request: "once-05", Server: "s2", At: 6 * time.Second})
	}},
	{"what is refused was not run", "a refusal after a run", func(h *History) { h.call("once-05").Status = http.StatusServiceUnavailable }},
	{"a configuration is in force in time", "a new key that is refused", func(h *History) {
		c := h.call("often-13")
		c.Key, c.Status = rotatingKey(2), http.StatusUnauthorized
	}},
	{"a configuration is in force in time", "an old key that is taken", func(h *History) { h.call("often-13").Key = rotatingKey(1) }},
	{"a configuration never goes back", "an old key that is taken after a new one", func(h *History) {
		h.call("often-10").Key, h.call("often-11").Key = rotatingKey(2), rotatingKey(1)
	}},
	{"a configuration never goes back", "a new key that is refused after it was taken", func(h *History) {
		h.call("often-10").Key, h.call("often-11").Key = rotatingKey(2), rotatingKey(2)
		h.call("often-11").Status = http.StatusUnauthorized
	}},
	{"a leaving server gets nothing new", "a request to a server that left", func(h *History) {
		h.Drains = append(h.Drains, Drain{Server: "s", At: 37 * time.Second})
	}},
	{"requests end within their time", "an answer long after the time limit", func(h *History) { h.call("once-05").Ended += 2 * time.Second }},
	{"planned work cuts no request off", "a request that a stopping host cuts off", func(h *History) {
		h.call("once-05").Broken = true
		h.Faults = append(h.Faults, Span{Fault: hostStop, Target: "h", From: 5 * time.Second, To: 6 * time.Second})
	}},
	{"service comes back", "refusals for ever", func(h *History) {
		for i := range h.Calls {
			if c := &h.Calls[i]; c.Sent > 20*time.Second {
				c.Status, c.ID = http.StatusBadGateway, c.ID+"-unserved"
			}
		}
	}},
	{"memory is given back", "a reservation nobody ends", func(h *History) { h.Held = append(h.Held, Held{Server: "s", Tickets: 1}) }},
	{"processes do not end by themselves", "a crash", func(h *History) { h.Exits = append(h.Exits, Exit{Host: "h", Text: "exit status 2"}) }},
}

// TestEachPromiseCanBeSeenBroken shows that no check passes everything.
func TestEachPromiseCanBeSeenBroken(t *testing.T) {
	seen := make(map[string]bool)
	for _, w := range wrong {
		t.Run(w.how, func(t *testing.T) {
			g := NewWithT(t)
			h := good()
			w.spoil(h)
			found := Check(h.sorted())
			g.Expect(found).NotTo(BeEmpty())
			for _, v := range found {
				g.Expect(v.Promise).To(Equal(w.promise), v.Detail)
			}
			seen[w.promise] = true
		})
	}
	for _, p := range promises {
		if !seen[p.name] {
			t.Errorf("no history shows %q broken", p.name)
		}
	}
}

// TestExcusesEnd has the faults that excuse a request end too early for it.
func TestExcusesEnd(t *testing.T) {
	g := NewWithT(t)
	h := good()
	c := h.call("often-30")
	c.Key = rotatingKey(1)
	h.Faults = []Span{{Fault: storeLinkCut, Target: "h", From: 25 * time.Second, To: 28 * time.Second}}
	g.Expect(Check(h.sorted())).To(BeEmpty(), "cut off from the store until two seconds ago")
	h.Faults[0].To = 26 * time.Second
	g.Expect(Check(h.sorted())).To(HaveLen(1), "in touch for four seconds")
}

func TestSchedulesFollowFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	c := DefaultConfig()
	first, again := schedule(c), schedule(c)
	g.Expect(first).To(Equal(again))
	c.Seed++
	g.Expect(schedule(c)).NotTo(Equal(first))
	c.Length = time.Hour
	struck := make(map[Fault]bool)
	for _, s := range schedule(c) {
		struck[s.fault] = true
	}
	g.Expect(struck).To(HaveLen(len(repertoire)))
}
