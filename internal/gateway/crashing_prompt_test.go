package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

const (
	// freeCrashes is the number of crashes under one part after which the bound on
	// requests with that part is in force, settlingAfterCrashes the time until then,
	// and maxLaterArrivals the bound.
	freeCrashes          = 5
	settlingAfterCrashes = 3 * time.Second
	maxLaterArrivals     = 3
	// minServedShare is the least share of sound requests that are to be served, of
	// the share before the first crash.
	minServedShare = 0.5
)

func TestSentRequestsNameTheSharedPartsOfTheirPrompts(t *testing.T) {
	h, _, _, _ := setUp(t)
	NewWithT(t).Expect(h.sendPrompt("r-1", "5c:40,9a:200,e4:20").status).To(Equal(http.StatusOK))
	NewWithT(t).Expect(h.logs.linesOf("r-1")).To(ContainElement(HaveKeyWithValue("parts", "5c,9a")))
}

// sendPrompt sends a request for a stream with the given parts of its prompt, and a body of
// its own.
func (h *testHost) sendPrompt(id, parts string) reply {
	return h.send("POST", "/s/", id, standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"),
		standin.HeaderUsage, "100,20", standin.HeaderPromptParts, parts)
}

// crashTimes returns when servers crashed, in order.
func crashTimes(servers []*standin.Server) []time.Time {
	var all []time.Time
	for _, s := range servers {
		for _, crash := range s.Crashes() {
			all = append(all, crash.At)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// arrivalsWithPart returns the number of requests with a part that reached servers
// after a time.
func arrivalsWithPart(servers []*standin.Server, part string, after time.Time) int {
	n := 0
	for _, s := range servers {
		for _, r := range s.ReceivedRequests() {
			if strings.Contains(r.Header.Get(standin.HeaderPromptParts), part+":") && r.At.After(after) {
				n++
			}
		}
	}
	return n
}

// TestPromptThatCrashesServersIsKeptAwayFromOthers guards against requests with one
// part in common that crash server after server, new ones and repeats.
func TestPromptThatCrashesServersIsKeptAwayFromOthers(t *testing.T) {
	g := NewWithT(t)
	const servers, badPart, shared = 12, "bad0", "5c"
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(1, "k1")
	var engines []*standin.Server
	for i := range servers {
		s := standin.NewServer(fmt.Sprint("i-e", i))
		t.Cleanup(s.Close)
		s.CrashUnder(badPart)
		s.Register(store, "llm", "a", standin.StateReady)
		engines = append(engines, s)
	}
	var hosts []*testHost
	for i := range 3 {
		hosts = append(hosts, startHost(t, fmt.Sprint("h", i), store))
	}
	const warmUp, length = 2 * time.Second, 10 * time.Second
	start := time.Now()
	var sending sync.WaitGroup
	var sound, served [2]atomic.Int64
	for i := range 18 {
		sending.Go(func() {
			for n := 0; time.Since(start) < warmUp+length; n++ {
				time.Sleep(rand.N(120 * time.Millisecond))
				host, id := hosts[i%len(hosts)], fmt.Sprintf("r-%d-%d", i, n)
				elapsed := time.Since(start)
				if elapsed > warmUp && n%6 == 0 {
					host.sendPrompt("bad-"+id, fmt.Sprintf("%s:40,%s:30,%s:20", shared, badPart, id))
					continue
				}
				phase := 0
				if elapsed > warmUp {
					phase = 1
				}
				answer := host.sendPrompt(id, fmt.Sprintf("%s:40,%s:30", shared, id))
				sound[phase].Add(1)
				if answer.status == http.StatusOK && answer.readError == nil {
					served[phase].Add(1)
				}
			}
		})
	}
	sending.Wait()
	crashes := crashTimes(engines)
	t.Logf("%d crashes; sound requests served: %d of %d before the first, %d of %d since", len(crashes), served[0].Load(), sound[0].Load(), served[1].Load(), sound[1].Load())
	if len(crashes) > freeCrashes {
		later := arrivalsWithPart(engines, badPart, crashes[freeCrashes-1].Add(settlingAfterCrashes))
		t.Logf("%d requests with the part reached servers later than %v after crash %d", later, settlingAfterCrashes, freeCrashes)
		g.Expect(later).To(BeNumerically("<=", maxLaterArrivals))
	}
	shareBefore := float64(served[0].Load()) / float64(sound[0].Load())
	g.Expect(float64(served[1].Load()) / float64(sound[1].Load())).To(BeNumerically(">=", minServedShare*shareBefore))
}

// TestHostThatStartsLaterRefusesQuarantinedPrompts guards against new hosts that try
// for themselves what the others have found to crash servers.
func TestHostThatStartsLaterRefusesQuarantinedPrompts(t *testing.T) {
	g := NewWithT(t)
	h, store, engines, _ := setUp(t)
	for i := range 2 {
		s := standin.NewServer(fmt.Sprint("i-e", 3+i))
		t.Cleanup(s.Close)
		s.Register(store, "llm", "a", standin.StateReady)
		engines = append(engines, s)
	}
	for _, s := range engines {
		s.CrashUnder("bad0")
	}
	g.Expect(h.sendPrompt("sound-1", "5c:40,own:20").status).To(Equal(http.StatusOK))
	for i := range 3 {
		h.sendPrompt(fmt.Sprint("bad-", i), fmt.Sprintf("5c:40,bad0:30,own%d:20", i))
		time.Sleep(200 * time.Millisecond)
	}
	h.await(func() bool { return h.logs.hasEvent(7026) }, "the part is quarantined")
	crashes := len(crashTimes(engines))
	later := startHost(t, "h2", store)
	later.await(func() bool { return later.logs.hasEvent(7026) }, "the new host hears of it")
	refused := later.sendPrompt("bad-9", "5c:40,bad0:30,own9:20")
	g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(retryAfter).To(BeNumerically("~", 25, 6))
	g.Expect(later.logs.linesOf("bad-9")).To(ContainElement(And(HaveKeyWithValue("part", "bad0"), HaveKeyWithValue("code", "prompt_quarantined"))))
	g.Expect(crashTimes(engines)).To(HaveLen(crashes))
}
