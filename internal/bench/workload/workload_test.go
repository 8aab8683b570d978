package workload

import (
	"io"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func expectNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s is %g, declared %g within %g of it", what, got, want, tolerance)
	}
}

func TestDefaultMixMatchesTargetMeans(t *testing.T) {
	m := DefaultMix()
	expectNear(t, "mean of the body", m.MeanBodyTokens(), 8_000, 0.03)
	expectNear(t, "mean answer", m.MeanAnswerTokens(), 208, 0.03)
	expectNear(t, "share over 100 k", m.ClassShares()[ClassVeryLong], 0.02, 0.001)
}

func TestDrawnLengthsMatchDeclaredMix(t *testing.T) {
	m := DefaultMix()
	r := rand.New(rand.NewPCG(1, 2))
	const draws = 200_000
	counts := make(map[Class]int)
	var prompts, answers float64
	for range draws {
		tokens := m.PromptTokens(r)
		if tokens < 1_000 || tokens > 1_000_000 {
			t.Fatalf("a prompt of %d tokens", tokens)
		}
		answer := m.AnswerTokens(r)
		if answer < 16 || answer > 1_024 {
			t.Fatalf("an answer of %d tokens", answer)
		}
		counts[ClassOf(tokens)]++
		prompts += float64(tokens)
		answers += float64(answer)
	}
	expectNear(t, "mean prompt", prompts/draws, m.MeanPromptTokens(), 0.03)
	expectNear(t, "mean answer", answers/draws, m.MeanAnswerTokens(), 0.01)
	for class, share := range m.ClassShares() {
		expectNear(t, "share of "+string(class), float64(counts[class])/draws, share, 0.05)
	}
}

// TestPlanIsDeterminedBySeed guards against plans that can't be repeated because
// they depend on anything but the seed.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	shape := DefaultTrafficProfile(40, 20*time.Second)
	first := NewPlan(Moderation(), shape, 7)
	if !reflect.DeepEqual(first, NewPlan(Moderation(), shape, 7)) {
		t.Fatal("two plans of one seed differ")
	}
	if reflect.DeepEqual(first, NewPlan(Moderation(), shape, 8)) {
		t.Fatal("plans of two seeds are the same")
	}
}

func TestPlanMatchesTrafficProfile(t *testing.T) {
	d := OrderDesk()
	shape := DefaultTrafficProfile(200, 100*time.Second)
	plan := NewPlan(d, shape, 3)
	var prompts, calls, actions, repeats, prefixed int
	organisations := make(map[string]int)
	keys := make(map[string]bool)
	for i, r := range plan {
		if i > 0 && r.ArrivalOffset < plan[i-1].ArrivalOffset {
			t.Fatal("arrivals are not in order")
		}
		organisations[r.Organisation]++
		switch {
		case r.Class != ClassService:
			prompts++
			if r.PrefixTokens > 0 {
				prefixed++
			}
		case r.IdempotencyKey == "":
			calls++
		default:
			calls++
			actions++
			if keys[r.IdempotencyKey] {
				t.Fatalf("key of request %d is used twice", i)
			}
			keys[r.IdempotencyKey] = true
		}
		if r.Repeat != nil {
			repeats++
			if r.Repeat.Host == r.Host && r.Repeat.DataCentre == r.DataCentre {
				t.Fatal("an action is sent again to the same host")
			}
		}
	}
	expectNear(t, "prompts", float64(prompts), 200*100, 0.03)
	expectNear(t, "service calls", float64(calls), 0.25*200*100, 0.05)
	expectNear(t, "actions", float64(actions), 0.5*float64(calls), 0.05)
	expectNear(t, "repeats", float64(repeats), 0.3*float64(actions), 0.1)
	expectNear(t, "shared prefixes", float64(prefixed), 0.3*float64(prompts), 0.05)
	expectNear(t, "arrivals of a large organisation", float64(organisations["org-01"])/float64(len(plan)), 10.0/28, 0.05)
}

// TestBaselineKeepsArrivalsAndChangesTexts guards against a baseline that is too
// fast because engines have its texts cached.
func TestBaselineKeepsArrivalsAndChangesTexts(t *testing.T) {
	plan := NewPlan(Moderation(), DefaultTrafficProfile(40, 20*time.Second), 7)
	pool := NewTextPool(7)
	baseline := Baseline(plan)
	i := 0
	for _, r := range plan {
		if r.Class != ClassShort {
			continue
		}
		b := baseline[i]
		i++
		if b.ArrivalOffset != r.ArrivalOffset || b.PromptTokens != r.PromptTokens || b.Host != r.Host {
			t.Fatalf("request %d differs in the baseline", r.Index)
		}
		if pool.Prompt(r).Hash() == pool.Prompt(b).Hash() {
			t.Fatalf("request %d has the same text in the baseline", r.Index)
		}
	}
	if i != len(baseline) {
		t.Fatalf("%d requests in the baseline, %d shorts in the plan", len(baseline), i)
	}
}

func TestPromptHasDeclaredLengthHashAndPrefix(t *testing.T) {
	pool := NewTextPool(1)
	first := pool.Prompt(&Request{PromptTokens: 1_000_000, PrefixTokens: 512, PrefixSeed: poolBytes - 5, TextSeed: 9})
	second := pool.Prompt(&Request{PromptTokens: 2_000, PrefixTokens: 512, PrefixSeed: poolBytes - 5, TextSeed: 10})
	long, err := io.ReadAll(first.Reader())
	if err != nil {
		t.Fatal(err)
	}
	short, err := io.ReadAll(second.Reader())
	if err != nil {
		t.Fatal(err)
	}
	if len(long) != 4_000_000 || first.Len() != len(long) {
		t.Fatalf("%d bytes, declared %d", len(long), first.Len())
	}
	if first.Hash() != xxhash.Sum64(long) {
		t.Fatal("the hash is not that of the text")
	}
	shared := 512 * 4
	if string(long[:shared]) != string(short[:shared]) || string(long[shared:shared+64]) == string(short[shared:shared+64]) {
		t.Fatal("the prompts do not share just their prefix")
	}
}

func TestCapacityIsLimitedByPrefillBatchOrMemory(t *testing.T) {
	m := DefaultMix()
	wide := Engine{BaseStepSeconds: 0.02, PrefillRate: 100_000, ChunkTokens: 4_000, MemoryTokens: 1 << 40, MaxBatch: 1 << 20}
	c, err := EstimateCapacity(10, wide, m)
	if err != nil {
		t.Fatal(err)
	}
	full := 4_000 / (0.02 + 0.04)
	expectNear(t, "prefill bound", c.PromptsPerSecond, 10*full/m.MeanPromptTokens(), 0.001)
	if c.Bottleneck != bottleneckPrefill {
		t.Errorf("bound by %s", c.Bottleneck)
	}
	narrow := wide
	narrow.MaxBatch = 4
	if c, err = EstimateCapacity(10, narrow, m); err != nil || c.Bottleneck != bottleneckBatch {
		t.Errorf("bound by %s, %v", c.Bottleneck, err)
	}
	tight := wide
	tight.MemoryTokens = 200_000
	if c, err = EstimateCapacity(10, tight, m); err != nil || c.Bottleneck != bottleneckMemory {
		t.Errorf("bound by %s, %v", c.Bottleneck, err)
	}
	if _, err = EstimateCapacity(0, wide, m); err == nil {
		t.Error("no engines were accepted")
	}
}
