package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// Violation is a broken promise.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// promise is one check over a history.
type promise struct {
	name  string
	check func(h *History, report func(format string, args ...any))
}

// promises are all that is checked.
var promises = []promise{
	{"answers are whole and one's own", checkAnswers},
	{"what may not be repeated runs once at most", checkOnce},
	{"what is refused was not run", checkNotRun},
	{"a configuration is in force in time", checkInForce},
	{"a configuration never goes back", checkNeverBack},
	{"a leaving server gets nothing new", checkDrained},
	{"requests end within their time", checkTimeLimit},
	{"planned work cuts no request off", checkLost},
	{"service comes back", checkRecovered},
	{"memory is given back", checkMemory},
	{"processes do not end by themselves", checkExits},
}

// maxDetails bounds the violations told of one promise.
const maxDetails = 10

// Check returns the broken promises of a history.
func Check(h *History) []Violation {
	var found []Violation
	for _, p := range promises {
		count := 0
		p.check(h, func(format string, args ...any) {
			count++
			if count <= maxDetails {
				found = append(found, Violation{Promise: p.name, Detail: fmt.Sprintf(format, args...)})
			}
		})
		if count > maxDetails {
			found = append(found, Violation{Promise: p.name, Detail: fmt.Sprintf("and %d more", count-maxDetails)})
		}
	}
	return found
}

func (c *Call) succeeded() bool { return c.Status == http.StatusOK && !c.Broken }

// says describes a call in a violation.
func (c *Call) says() string {
	return fmt.Sprintf("%s (%s) at %s boot %d, %v to %v, status %d, broken %v",
		c.ID, c.Kind, c.Host, c.Boot, c.Sent.Round(time.Millisecond), c.Ended.Round(time.Millisecond), c.Status, c.Broken)
}

// streamEvents is the number of events of each stream.
const streamEvents = 8

func wholeStream(request string) string {
	var b strings.Builder
	for id := range streamEvents {
		b.WriteString(standin.FormatEvent(request, id))
	}
	return b.String()
}

func checkAnswers(h *History, report func(string, ...any)) {
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Status != http.StatusOK {
			continue
		}
		switch {
		case !c.Signed:
			report("%s: success without a signature", c.says())
		case c.Kind == Stream && !c.Broken && c.Body != wholeStream(c.ID):
			report("%s: looks complete with %q", c.says(), c.Body)
		case c.Kind == Stream && !strings.HasPrefix(wholeStream(c.ID), c.Body):
			report("%s: is no part of the answer: %q", c.says(), c.Body)
		case c.Kind != Stream && !c.Broken && !h.bodyOfARun(c):
			report("%s: not the body of a server that ran it: %q", c.says(), c.Body)
		}
	}
}

func (h *History) bodyOfARun(c *Call) bool {
	for _, r := range h.runsOf(c.ID) {
		if c.Body == standin.FormatCallResponse(r.Server, c.ID) {
			return true
		}
	}
	return false
}

func (h *History) runsOf(request string) []Execution {
	at, _ := slices.BinarySearchFunc(h.Runs, request, func(r Execution, id string) int { return strings.Compare(r.Request, id) })
	end := at
	for end < len(h.Runs) && h.Runs[end].Request == request {
		end++
	}
	return h.Runs[at:end]
}

func checkOnce(h *History, report func(string, ...any)) {
	for i := range h.Calls {
		c := &h.Calls[i]
		if runs := h.runsOf(c.ID); c.Kind == Once && len(runs) > 1 {
			report("%s: ran %d times", c.says(), len(runs))
		}
	}
}

// promisesNotRun says whether a status promises that a request has not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func checkNotRun(h *History, report func(string, ...any)) {
	for i := range h.Calls {
		c := &h.Calls[i]
		if runs := h.runsOf(c.ID); promisesNotRun(c.Status) && len(runs) > 0 {
			report("%s: ran on %s at %v", c.says(), runs[0].Server, runs[0].At)
		}
	}
}

// allowing are the versions that may decide a request of a host in touch.
func (h *History) allowing(c *Call) []Version {
	var may []Version
	for i, v := range h.Versions {
		superseded := i+1 < len(h.Versions) && h.Versions[i+1].Acknowledged+applyBound < c.Sent
		if !superseded && v.At <= c.Ended {
			may = append(may, v)
		}
	}
	return may
}

func allows(v Version, key string) bool { return slices.Contains(v.Keys, key) }

func checkInForce(h *History, report func(string, ...any)) {
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Status == 0 || !h.inTouch(c.Host, c.Sent, c.Ended) {
			continue
		}
		may := h.allowing(c)
		allowed, refused := false, false
		for _, v := range may {
			if allows(v, c.Key) {
				allowed = true
			} else {
				refused = true
			}
		}
		switch {
		case c.Status == http.StatusUnauthorized && !refused:
			report("%s: key %s is refused though all of %d versions have it", c.says(), c.Key, len(may))
		case c.succeeded() && !allowed:
			report("%s: key %s is taken though no version from %d on has it", c.says(), c.Key, may[0].Number)
		}
	}
}

// proof is the version that a call shows at least, or at most, to be in force.
func (h *History) proof(c *Call) (least, most int) {
	first, last := 0, 0
	for _, v := range h.Versions {
		if allows(v, c.Key) {
			if first == 0 {
				first = v.Number
			}
			last = v.Number
		}
	}
	switch {
	case first == 0:
		return 0, 0
	case c.succeeded():
		return first, last
	case c.Status == http.StatusUnauthorized && last == h.Versions[len(h.Versions)-1].Number:
		return 0, first - 1
	}
	return 0, 0
}

func checkNeverBack(h *History, report func(string, ...any)) {
	type run struct {
		host string
		boot int
	}
	calls := make(map[run][]*Call)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Status != 0 {
			calls[run{c.Host, c.Boot}] = append(calls[run{c.Host, c.Boot}], c)
		}
	}
	for _, list := range calls {
		for _, later := range list {
			_, most := h.proof(later)
			if most == 0 {
				continue
			}
			for _, earlier := range list {
				least, _ := h.proof(earlier)
				if earlier.Ended+backSlack < later.Sent && least > most {
					report("%s: decided by version %d or older, after %s by %d or newer", later.says(), most, earlier.ID, least)
					break
				}
			}
		}
	}
}

func checkDrained(h *History, report func(string, ...any)) {
	hosts := make(map[string]string, len(h.Calls))
	for _, c := range h.Calls {
		hosts[c.ID] = c.Host
	}
	for _, d := range h.Drains {
		for _, r := range h.Runs {
			if r.Server != d.Server || r.At < d.At+drainBound || !h.inTouch(hosts[r.Request], d.At, r.At) {
				continue
			}
			report("%s ran on %s %v after it was registered as leaving", r.Request, d.Server, r.At-d.At)
		}
	}
}

func checkTimeLimit(h *History, report func(string, ...any)) {
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Ended-c.Sent > c.Limit+overtime && !h.faulty(c.Sent-stableWindow, c.Ended, c.Host) {
			report("%s: took %v of %v", c.says(), c.Ended-c.Sent, c.Limit)
		}
	}
}

// checkLost looks at requests that were answered or run while nothing but
// planned work went on.
func checkLost(h *History, report func(string, ...any)) {
	for i := range h.Calls {
		c := &h.Calls[i]
		taken := c.Status != 0 || len(h.runsOf(c.ID)) > 0
		if c.Broken && taken && h.quiet(c.Sent-stableWindow, c.Ended) {
			report("%s: cut off without a fault", c.says())
		}
	}
}

func checkRecovered(h *History, report func(string, ...any)) {
	asked, served := 0, 0
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Sent < h.LastFault+recoverBound || c.Status == http.StatusUnauthorized {
			continue
		}
		asked++
		if c.succeeded() {
			served++
		}
	}
	if asked == 0 || float64(served) < servedAtLeast*float64(asked) {
		report("%d of %d requests served once faults were over for %v", served, asked, recoverBound)
	}
}

func checkMemory(h *History, report func(string, ...any)) {
	for _, held := range h.Held {
		if held.Tickets > 0 {
			report("%s has %d reservations %v after the last request", held.Server, held.Tickets, freeBound)
		}
	}
}

func checkExits(h *History, report func(string, ...any)) {
	for _, e := range h.Exits {
		if !e.Asked {
			report("%s ended at %v: %s", e.Host, e.At, e.Text)
		}
	}
}
