package batch_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// smallConfig returns an engine with little memory and a short queue, so that
// tests reach the limits.
func smallConfig() batch.Config {
	c := batch.DefaultConfig()
	c.MaxBatch, c.MaxWaiting, c.MemoryTokens, c.ChunkTokens = 4, 8, 8192, 512
	return c
}

func workID(i int) api.WorkID { return api.WorkID{Request: "r" + strconv.Itoa(i), Attempt: 1} }

// runUntilIdle executes steps until the engine has nothing left to do, and fails
// the test if that takes too many steps.
func runUntilIdle(t interface{ Fatal(...any) }, e *batch.Engine, now time.Duration) time.Duration {
	for range 100_000 {
		d, busy := e.Plan(now)
		if !busy {
			return now
		}
		now += d
		e.Apply(now)
	}
	t.Fatal("engine is still busy after the highest number of steps")
	return now
}

// checkMemory compares the engine's total of held memory with the sum over the
// work items that it lists.
func checkMemory(t *rapid.T, e *batch.Engine, limit int) {
	sum := 0
	for _, w := range e.ListWork() {
		sum += w.Tokens
	}
	if held := e.Counters().HeldTokens; held != sum || held < 0 || held > limit {
		t.Fatalf("engine holds %d tokens, its work items %d, limit %d", held, sum, limit)
	}
}

// TestMemoryReturnsToZero runs random sequences of all calls and checks that no
// memory is held once every work item has finished or has been cancelled,
// whatever its state at the cancel and however often it was cancelled.
func TestMemoryReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := smallConfig()
		e := batch.New(config)
		now := time.Duration(0)
		pick := rapid.IntRange(0, 11)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { checkMemory(t, e, config.MemoryTokens) },
			"reserve": func(t *rapid.T) {
				_ = e.Reserve(now, api.Reservation{Work: workID(pick.Draw(t, "work")), Tokens: rapid.IntRange(0, 5000).Draw(t, "tokens")})
			},
			"submit": func(t *rapid.T) {
				_ = e.Submit(now, batch.Submission{
					Work: workID(pick.Draw(t, "work")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					PromptTokens: rapid.IntRange(0, 4000).Draw(t, "prompt"), MaxTokens: rapid.IntRange(0, 20).Draw(t, "max"),
					IsMember: rapid.Bool().Draw(t, "member"), IsLeader: rapid.Bool().Draw(t, "leader"),
					PrefixChain: rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 4).Draw(t, "chain"),
				})
			},
			"step": func(*rapid.T) {
				if d, busy := e.Plan(now); busy {
					now += d
					e.Apply(now)
				}
			},
			"members": func(t *rapid.T) { e.RecordMembersPrefilled(now, workID(pick.Draw(t, "work"))) },
			"cancel":  func(t *rapid.T) { e.Cancel(now, workID(pick.Draw(t, "work"))) },
			"fail":    func(t *rapid.T) { e.Fail(now, workID(pick.Draw(t, "work"))) },
			"wait":    func(*rapid.T) { now += config.KeepFinished / 2 },
			"cancelAmidStep": func(t *rapid.T) {
				d, _ := e.Plan(now)
				e.Cancel(now, workID(pick.Draw(t, "work")))
				now += d
				e.Apply(now)
			},
		})
		now = runUntilIdle(t, e, now)
		for i := range 12 {
			e.Cancel(now, workID(i))
			e.Cancel(now, workID(i)) // a host repeats a cancel whose answer was lost
		}
		if held := e.Counters().HeldTokens; held != 0 || len(e.ListWork()) != 0 {
			t.Fatalf("%d tokens held at the end by %v", held, e.ListWork())
		}
	})
}

// heldAfterReordering delivers the messages of several work items, their cancels
// included, in a random order and returns the memory held after all of them.
func heldAfterReordering(config batch.Config, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, seed))
	e := batch.New(config)
	var messages []func()
	for i := range 8 {
		w := workID(i)
		messages = append(messages,
			func() { _ = e.Reserve(0, api.Reservation{Work: w, Tokens: 100}) },
			func() { _ = e.Submit(0, batch.Submission{Work: w, PromptTokens: 50, MaxTokens: 10, IsLeader: true}) },
			func() { e.Cancel(0, w) },
		)
	}
	random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, deliver := range messages {
		deliver()
	}
	return e.Counters().HeldTokens
}

// TestSubmitAfterCancelHoldsNoMemory guards against a start that arrives after
// its cancel and then holds memory for ever. An engine that forgets cancelled
// work items must fail the same check, which shows that the check detects the
// fault.
func TestSubmitAfterCancelHoldsNoMemory(t *testing.T) {
	forgetfulConfig := smallConfig()
	forgetfulConfig.KeepCancelled = 1
	forgetfulFailures := 0
	for seed := range uint64(200) {
		if held := heldAfterReordering(smallConfig(), seed); held != 0 {
			t.Fatalf("seed %d: %d tokens held", seed, held)
		}
		if heldAfterReordering(forgetfulConfig, seed) != 0 {
			forgetfulFailures++
		}
	}
	if forgetfulFailures == 0 {
		t.Fatal("an engine that forgets cancelled work passes the check, so the check detects nothing")
	}
}

// progressRecorder records the time of a work item's first token and its latest
// progress.
type progressRecorder struct {
	clock        *time.Duration
	firstTokenAt time.Duration
	last         batch.Progress
}

func (r *progressRecorder) Update(p batch.Progress) {
	if p.Produced > 0 && r.last.Produced == 0 {
		r.firstTokenAt = *r.clock
	}
	r.last = p
}

// firstTokenTimes submits a long prompt and then a short one, and returns the
// time of the first token of each.
func firstTokenTimes(t *testing.T, shortPriority int) (short, long time.Duration) {
	e := batch.New(batch.DefaultConfig())
	var now time.Duration
	a, b := &progressRecorder{clock: &now}, &progressRecorder{clock: &now}
	requireNoError(t, e.Submit(0, batch.Submission{Work: workID(1), PromptTokens: 300_000, MaxTokens: 5, Priority: 5, Observer: a}))
	requireNoError(t, e.Submit(0, batch.Submission{Work: workID(2), PromptTokens: 1000, MaxTokens: 5, Priority: shortPriority, Observer: b}))
	for {
		d, busy := e.Plan(now)
		if !busy {
			return b.firstTokenAt, a.firstTokenAt
		}
		now += d
		e.Apply(now)
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestPriorityOrdersPrefill(t *testing.T) {
	short, long := firstTokenTimes(t, 5)
	if short < long {
		t.Fatalf("equal priority: short prompt's first token at %v, before the long prompt's at %v", short, long)
	}
	short, long = firstTokenTimes(t, 4)
	if short > 100*time.Millisecond || long < time.Second {
		t.Fatalf("higher priority: short prompt's first token at %v, long prompt's at %v", short, long)
	}
}

func TestLongPrefillSlowsDecoding(t *testing.T) {
	e := batch.New(batch.DefaultConfig())
	requireNoError(t, e.Submit(0, batch.Submission{Work: workID(1), PromptTokens: 10, MaxTokens: 100}))
	d, _ := e.Plan(0)
	e.Apply(d)
	alone, _ := e.Plan(d)
	requireNoError(t, e.Submit(d, batch.Submission{Work: workID(2), PromptTokens: 100_000, MaxTokens: 5}))
	shared, _ := e.Plan(d)
	if want := alone + 25600*time.Microsecond; shared != want {
		t.Fatalf("step beside a full chunk takes %v, want %v", shared, want)
	}
}

func TestCacheSkipsPrefillAndIsEvictedForReservations(t *testing.T) {
	c := smallConfig()
	c.EventLoss, c.EventDelay = 0, 0
	e := batch.New(c)
	chain := []uint64{11, 12, 13}
	requireNoError(t, e.Submit(0, batch.Submission{Work: workID(1), PromptTokens: 3 * 512, MaxTokens: 1, PrefixChain: chain}))
	now := runUntilIdle(t, e, 0)
	requireNoError(t, e.Submit(now, batch.Submission{Work: workID(2), PromptTokens: 3*512 + 100, MaxTokens: 1, PrefixChain: chain}))
	now = runUntilIdle(t, e, now)
	if got := e.Counters(); got.CachedTokens != 3*512 || got.PrefilledTokens != 3*512+100 {
		t.Fatalf("counters %+v", got)
	}
	requireNoError(t, e.Reserve(now, api.Reservation{Work: workID(3), Tokens: c.MemoryTokens}))
	events := e.Events(now, 1, 100)
	if len(events.Events) != 6 || !events.Events[5].Evicted || events.Events[3].Prefix != 13 || events.Next != 7 {
		t.Fatalf("events %+v", events)
	}
	if err := e.Reserve(now, api.Reservation{Work: workID(4), Tokens: 1}); !errors.Is(err, batch.ErrNoMemory) {
		t.Fatalf("got %v, want ErrNoMemory", err)
	}
}

func TestCacheEventsAreDelayedAndSomeAreLost(t *testing.T) {
	c := smallConfig()
	c.EventLoss, c.EventDelay, c.MemoryTokens = 0.5, time.Second, 1<<20
	e := batch.New(c)
	chain := make([]uint64, 200)
	for i := range chain {
		chain[i] = uint64(i + 1)
	}
	e.ImportBlocks(0, chain)
	if got := e.Events(time.Second-1, 1, 1000); len(got.Events) != 0 || got.Next != 1 {
		t.Fatalf("events published before their delay passed: %+v", got)
	}
	got := e.Events(time.Second, 1, 1000)
	if n := len(got.Events); n == 0 || n == 200 {
		t.Fatalf("%d of 200 events were published, want some published and some lost", n)
	}
	for i := 1; i < len(got.Events); i++ {
		if got.Events[i].Sequence <= got.Events[i-1].Sequence {
			t.Fatal("sequence numbers do not increase")
		}
	}
}

func BenchmarkStep(b *testing.B) {
	for _, running := range []int{1, 32, 128} {
		b.Run(strconv.Itoa(running), func(b *testing.B) {
			c := batch.DefaultConfig()
			c.MemoryTokens = 1 << 50
			e := batch.New(c)
			for i := range running {
				if err := e.Submit(0, batch.Submission{Work: workID(i), PromptTokens: 1, MaxTokens: 1 << 40}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				e.Plan(0)
				e.Apply(0)
			}
		})
	}
}
