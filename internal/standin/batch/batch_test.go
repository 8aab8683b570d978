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

func small() batch.Config {
	c := batch.DefaultConfig()
	c.MaxBatch, c.MaxWaiting, c.MemoryTokens, c.ChunkTokens = 4, 8, 8192, 512
	return c
}

func work(i int) api.WorkID { return api.WorkID{Request: "r" + strconv.Itoa(i), Attempt: 1} }

// run steps the engine until it has nothing to do, and fails if that takes too long.
func run(t interface{ Fatal(...any) }, e *batch.Engine, now time.Duration) time.Duration {
	for range 100_000 {
		d, busy := e.Plan(now)
		if !busy {
			return now
		}
		now += d
		e.Apply(now)
	}
	t.Fatal("engine did not come to rest")
	return now
}

// checkMemory compares the engine's total with the works that it lists.
func checkMemory(t *rapid.T, e *batch.Engine, limit int) {
	sum := 0
	for _, w := range e.ListWork() {
		sum += w.Tokens
	}
	if held := e.Counters().HeldTokens; held != sum || held < 0 || held > limit {
		t.Fatalf("engine holds %d tokens, its works %d, limit %d", held, sum, limit)
	}
}

// TestMemoryReturnsToZero draws schedules of every call and checks that
// nothing is held once each work has finished or been cancelled, at whatever
// point, any number of times.
func TestMemoryReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := small()
		e := batch.New(config)
		now := time.Duration(0)
		pick := rapid.IntRange(0, 11)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { checkMemory(t, e, config.MemoryTokens) },
			"reserve": func(t *rapid.T) {
				_ = e.Reserve(now, api.Reservation{Work: work(pick.Draw(t, "work")), Tokens: rapid.IntRange(0, 5000).Draw(t, "tokens")})
			},
			"submit": func(t *rapid.T) {
				_ = e.Submit(now, batch.Submission{
					Work: work(pick.Draw(t, "work")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
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
			"members": func(t *rapid.T) { e.RecordMembersPrefilled(now, work(pick.Draw(t, "work"))) },
			"cancel":  func(t *rapid.T) { e.Cancel(now, work(pick.Draw(t, "work"))) },
			"fail":    func(t *rapid.T) { e.Fail(now, work(pick.Draw(t, "work"))) },
			"wait":    func(*rapid.T) { now += config.KeepFinished / 2 },
			"cancelAmidStep": func(t *rapid.T) {
				d, _ := e.Plan(now)
				e.Cancel(now, work(pick.Draw(t, "work")))
				now += d
				e.Apply(now)
			},
		})
		now = run(t, e, now)
		for i := range 12 {
			e.Cancel(now, work(i))
			e.Cancel(now, work(i)) // a cancel whose answer was lost is sent again
		}
		if held := e.Counters().HeldTokens; held != 0 || len(e.ListWork()) != 0 {
			t.Fatalf("%d tokens held at the end by %v", held, e.ListWork())
		}
	})
}

// heldAfterReordering delivers each work's messages in a random order, the
// cancel among them, and returns the memory held when all have arrived.
func heldAfterReordering(config batch.Config, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, seed))
	e := batch.New(config)
	var messages []func()
	for i := range 8 {
		w := work(i)
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

// TestLateStartAfterCancelHoldsNothing compares the engine with a naive one
// that forgets cancelled works; the naive one must fail the same check.
func TestLateStartAfterCancelHoldsNothing(t *testing.T) {
	naive := small()
	naive.KeepCancelled = 1
	naiveFailed := 0
	for seed := range uint64(200) {
		if held := heldAfterReordering(small(), seed); held != 0 {
			t.Fatalf("seed %d: %d tokens held", seed, held)
		}
		if heldAfterReordering(naive, seed) != 0 {
			naiveFailed++
		}
	}
	if naiveFailed == 0 {
		t.Fatal("the naive engine passes the check, which therefore proves nothing")
	}
}

// recorder notes when its work produced its first token and ended.
type recorder struct {
	clock *time.Duration
	first time.Duration
	last  batch.Progress
}

func (r *recorder) Update(p batch.Progress) {
	if p.Produced > 0 && r.last.Produced == 0 {
		r.first = *r.clock
	}
	r.last = p
}

// shortBehindLong returns when a short prompt behind a long one gets its first
// token, and when the long one does.
func shortBehindLong(t *testing.T, shortPriority int) (short, long time.Duration) {
	e := batch.New(batch.DefaultConfig())
	var now time.Duration
	a, b := &recorder{clock: &now}, &recorder{clock: &now}
	must(t, e.Submit(0, batch.Submission{Work: work(1), PromptTokens: 300_000, MaxTokens: 5, Priority: 5, Observer: a}))
	must(t, e.Submit(0, batch.Submission{Work: work(2), PromptTokens: 1000, MaxTokens: 5, Priority: shortPriority, Observer: b}))
	for {
		d, busy := e.Plan(now)
		if !busy {
			return b.first, a.first
		}
		now += d
		e.Apply(now)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestPriorityOrdersPrefill(t *testing.T) {
	short, long := shortBehindLong(t, 5)
	if short < long {
		t.Fatalf("equal priority: short at %v overtook long at %v", short, long)
	}
	short, long = shortBehindLong(t, 4)
	if short > 100*time.Millisecond || long < time.Second {
		t.Fatalf("short first at %v, long at %v", short, long)
	}
}

func TestLongPrefillSlowsDecoding(t *testing.T) {
	e := batch.New(batch.DefaultConfig())
	must(t, e.Submit(0, batch.Submission{Work: work(1), PromptTokens: 10, MaxTokens: 100}))
	d, _ := e.Plan(0)
	e.Apply(d)
	alone, _ := e.Plan(d)
	must(t, e.Submit(d, batch.Submission{Work: work(2), PromptTokens: 100_000, MaxTokens: 5}))
	shared, _ := e.Plan(d)
	if want := alone + 25600*time.Microsecond; shared != want {
		t.Fatalf("step beside a full chunk takes %v, want %v", shared, want)
	}
}

func TestCacheSkipsPrefillAndGivesWay(t *testing.T) {
	c := small()
	c.EventLoss, c.EventDelay = 0, 0
	e := batch.New(c)
	chain := []uint64{11, 12, 13}
	must(t, e.Submit(0, batch.Submission{Work: work(1), PromptTokens: 3 * 512, MaxTokens: 1, PrefixChain: chain}))
	now := run(t, e, 0)
	must(t, e.Submit(now, batch.Submission{Work: work(2), PromptTokens: 3*512 + 100, MaxTokens: 1, PrefixChain: chain}))
	now = run(t, e, now)
	if got := e.Counters(); got.CachedTokens != 3*512 || got.PrefilledTokens != 3*512+100 {
		t.Fatalf("counters %+v", got)
	}
	must(t, e.Reserve(now, api.Reservation{Work: work(3), Tokens: c.MemoryTokens}))
	events := e.Events(now, 1, 100)
	if len(events.Events) != 6 || !events.Events[5].Evicted || events.Events[3].Prefix != 13 || events.Next != 7 {
		t.Fatalf("events %+v", events)
	}
	if err := e.Reserve(now, api.Reservation{Work: work(4), Tokens: 1}); !errors.Is(err, batch.ErrNoMemory) {
		t.Fatalf("got %v, want ErrNoMemory", err)
	}
}

func TestEventsComeLateAndWithGaps(t *testing.T) {
	c := small()
	c.EventLoss, c.EventDelay, c.MemoryTokens = 0.5, time.Second, 1<<20
	e := batch.New(c)
	chain := make([]uint64, 200)
	for i := range chain {
		chain[i] = uint64(i + 1)
	}
	e.ImportBlocks(0, chain)
	if got := e.Events(time.Second-1, 1, 1000); len(got.Events) != 0 || got.Next != 1 {
		t.Fatalf("events before they are due: %+v", got)
	}
	got := e.Events(time.Second, 1, 1000)
	if n := len(got.Events); n == 0 || n == 200 {
		t.Fatalf("%d of 200 events came; some must, and some be lost", n)
	}
	for i := 1; i < len(got.Events); i++ {
		if got.Events[i].Sequence <= got.Events[i-1].Sequence {
			t.Fatal("sequence does not rise")
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
				if err := e.Submit(0, batch.Submission{Work: work(i), PromptTokens: 1, MaxTokens: 1 << 40}); err != nil {
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
