package registry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/platform"
	stand "github.com/chestnutline/chestnutline/internal/standin/platform"
)

func declared(organisations, share int) intent.Configuration {
	c := intent.New()
	c.AddDataCentres("lima", "lima-a")
	c.AddModel(intent.NewModel("moderator", "v1", 1000).PlacedIn("lima-a", 0))
	c.AddKinds(intent.ModelKind("comment"))
	for i := range organisations {
		c.AddOrganisations(intent.NewOrganisation(fmt.Sprintf("org-%04d", i), 1))
	}
	c.Organisations[0].Share = float64(share)
	return c.Canonical()
}

func TestSubmitThenRead(t *testing.T) {
	ctx, store := context.Background(), newMemory()
	if _, err := Read(ctx, store); !errors.Is(err, ErrNone) {
		t.Fatalf("read of nothing: %v", err)
	}
	for version := range uint64(3) {
		c := declared(4200, int(version)+1)
		change, err := Submit(ctx, store, c, version, "ana", "raise the share")
		if err != nil || change.Version != version+1 {
			t.Fatalf("submit on %d: %v %v", version, change, err)
		}
		got, err := Read(ctx, store)
		if err != nil || !reflect.DeepEqual(got.Configuration, c) {
			t.Fatalf("read of %d differs: %v", change.Version, err)
		}
	}
	before := store.calls
	if _, err := Submit(ctx, store, declared(4200, 9), 3, "ana", "again"); err != nil {
		t.Fatal(err)
	}
	if calls := store.calls - before; calls != 3 {
		t.Errorf("a change of one organisation took %d calls, want 3: read, part, manifest", calls)
	}
}

func TestSubmitRefusesFindings(t *testing.T) {
	store := newMemory()
	_, err := Submit(context.Background(), store, intent.Configuration{}, 0, "", strings.Repeat("n", 201))
	var refused finding.Error
	if !errors.As(err, &refused) || len(refused.Findings) != 5 || store.calls != 0 {
		t.Errorf("want 5 findings and no call, got %v and %d calls", err, store.calls)
	}
}

func TestConflictNamesBothChanges(t *testing.T) {
	ctx, store := context.Background(), newMemory()
	if _, err := Submit(ctx, store, declared(2, 1), 0, "ana", "first"); err != nil {
		t.Fatal(err)
	}
	_, err := Submit(ctx, store, declared(2, 2), 0, "kofi", "second")
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("want a conflict, got %v", err)
	}
	for _, name := range []string{"ana", "first", "kofi", "second"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("the conflict does not name %q: %v", name, err)
		}
	}
}

// TestLostAnswerIsReadBack loses the answer of the acceptance, with and
// without effect, and lets another operator come in between.
func TestLostAnswerIsReadBack(t *testing.T) {
	for _, effect := range []bool{true, false} {
		for _, rival := range []bool{true, false} {
			t.Run(fmt.Sprintf("effect=%t rival=%t", effect, rival), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { lostAnswer(t, effect, rival) })
			})
		}
	}
}

func lostAnswer(t *testing.T, effect, rival bool) {
	ctx, store := context.Background(), newMemory()
	if _, err := Submit(ctx, store, declared(2, 1), 0, "ana", "first"); err != nil {
		t.Fatal(err)
	}
	lost := false
	store.fault = func(op, key string) (error, bool) {
		switch {
		case op == "put" && key == configuration.ManifestKey && !lost:
			lost = true
			return platform.ErrUnknown, effect
		case op == "get" && lost && rival:
			rival = false
			store.fault = nil
			m, _, _ := ReadManifest(ctx, store)
			if _, err := Submit(ctx, store, declared(2, 3), m.Change.Version, "kofi", "rival"); err != nil {
				t.Error(err)
			}
		}
		return nil, true
	}
	beaten := rival && !effect
	_, err := Submit(ctx, store, declared(2, 2), 1, "ana", "second")
	var conflict *ConflictError
	if beaten != errors.As(err, &conflict) || (!beaten && err != nil) {
		t.Errorf("outcome %v", err)
	}
}

// TestUnreadableOutcomeIsUnknown cuts the object API off after the write.
func TestUnreadableOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, down := newMemory(), false
		store.fault = func(op, key string) (error, bool) {
			if down {
				return platform.ErrUnavailable, false
			}
			down = op == "put" && key == configuration.ManifestKey
			if down {
				return platform.ErrUnknown, true
			}
			return nil, true
		}
		_, err := Submit(context.Background(), store, declared(2, 1), 0, "ana", "first")
		var unknown *UnknownError
		if !errors.As(err, &unknown) || unknown.Mine.Nonce == "" {
			t.Errorf("want an unknown outcome with its nonce, got %v", err)
		}
	})
}

// TestSweepBesideSubmissions runs submissions and sweeps nested into each
// other's calls: every accepted configuration must stay readable.
func TestSweepBesideSubmissions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, store := context.Background(), newMemory()
		depth, budget := 0, 12
		act := func() {
			depth++
			defer func() { depth-- }()
			if rapid.Bool().Draw(rt, "sweep") {
				if _, err := Sweep(ctx, store); err != nil {
					rt.Fatal(err)
				}
				return
			}
			m, _, err := ReadManifest(ctx, store)
			if err != nil {
				rt.Fatal(err)
			}
			share := rapid.IntRange(1, 3).Draw(rt, "share")
			_, err = Submit(ctx, store, declared(2, share), m.Change.Version, "ana", "")
			var conflict *ConflictError
			if err != nil && !errors.As(err, &conflict) {
				rt.Fatal(err)
			}
		}
		store.fault = func(string, string) (error, bool) {
			if depth < 4 && budget > 0 && rapid.IntRange(0, 3).Draw(rt, "nest") == 0 {
				budget--
				act()
			}
			return nil, true
		}
		for range 4 {
			act()
		}
		store.fault = nil
		if _, err := Read(ctx, store); err != nil && !errors.Is(err, ErrNone) {
			rt.Fatalf("the accepted configuration is damaged: %v", err)
		}
		if _, err := Sweep(ctx, store); err != nil {
			rt.Fatal(err)
		}
		if _, err := Read(ctx, store); err != nil && !errors.Is(err, ErrNone) {
			rt.Fatalf("the sweep damaged the accepted configuration: %v", err)
		}
		sweepLeavesNothing(rt, store)
	})
}

// sweepLeavesNothing checks that the sweep after one more acceptance removes
// every part that the accepted configuration does not name.
func sweepLeavesNothing(rt *rapid.T, store *memory) {
	ctx := context.Background()
	m, _, _ := ReadManifest(ctx, store)
	if _, err := Submit(ctx, store, declared(3, 7), m.Change.Version, "ana", "last"); err != nil {
		rt.Fatal(err)
	}
	if _, err := Sweep(ctx, store); err != nil {
		rt.Fatal(err)
	}
	m, _, _ = ReadManifest(ctx, store)
	if left := len(store.objects) - 1; left != len(m.Parts) {
		rt.Errorf("%d parts are left, the manifest names %d", left, len(m.Parts))
	}
}

// operation is one call in a history of racing operators.
type operation struct {
	read  bool
	base  uint64
	nonce string
}

// outcome of an operation: what a read saw, or how a submission ended.
type outcome struct {
	version  uint64
	nonce    string
	accepted bool
	unknown  bool
}

type state struct {
	version uint64
	nonce   string
}

// acceptance is the sequential model: a submission on the newest version is
// accepted, any other refused; one of unknown outcome may be either; a read
// sees the newest.
var acceptance = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, input, output any) []any {
		now, op, out := s.(state), input.(operation), output.(outcome)
		after := state{version: op.base + 1, nonce: op.nonce}
		fits := op.base == now.version
		switch {
		case op.read:
			fits = out.version == now.version && out.nonce == now.nonce
			return when(fits, now)
		case out.accepted:
			return when(fits, after)
		case out.unknown && fits:
			return []any{now, after}
		default:
			return []any{now}
		}
	},
}).ToModel()

func when(possible bool, s state) []any {
	if possible {
		return []any{s}
	}
	return nil
}

type submitter func(ctx context.Context, s platform.Store, c intent.Configuration, base uint64, author, note string) (configuration.Change, error)

// faulty returns an object API in memory that is slow and loses answers.
func faulty(seed uint64) *memory {
	store := newMemory()
	chance := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	store.fault = func(op, _ string) (error, bool) {
		mu.Lock()
		wait, n := time.Duration(chance.IntN(20))*time.Millisecond, chance.IntN(10)
		mu.Unlock()
		time.Sleep(wait)
		switch {
		case n == 0:
			return platform.ErrUnavailable, false
		case n <= 2 && op == "put":
			return platform.ErrUnknown, n == 1
		}
		return nil, true
	}
	return store
}

// race lets operators submit and read at once over an object API that loses
// answers, and returns the history.
func race(store platform.Store, submit submitter) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			for i := range 4 {
				base := operate(store, client, start, &mu, &history)
				name := fmt.Sprintf("operator-%d-%d", client, i)
				call := time.Since(start)
				_, err := submit(context.Background(), store, declared(2, client+1), base, name, "")
				out := outcome{accepted: err == nil, unknown: errors.As(err, new(*UnknownError))}
				record(&mu, &history, client, operation{base: base, nonce: name}, out, call, time.Since(start))
			}
		})
	}
	operators.Wait()
	operate(store, 0, start, &mu, &history)
	return history
}

// operate reads the accepted version and records what it saw.
func operate(store platform.Store, client int, start time.Time, mu *sync.Mutex, history *[]porcupine.Operation) uint64 {
	call := time.Since(start)
	m, _, err := ReadManifest(context.Background(), store)
	if err == nil {
		out := outcome{version: m.Change.Version, nonce: m.Change.Author}
		record(mu, history, client, operation{read: true}, out, call, time.Since(start))
	}
	return m.Change.Version
}

func record(mu *sync.Mutex, history *[]porcupine.Operation, client int, in operation, out outcome, call, end time.Duration) {
	mu.Lock()
	defer mu.Unlock()
	*history = append(*history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
}

// naiveSubmit takes a lost answer for a failure and a conflict for final.
func naiveSubmit(ctx context.Context, s platform.Store, c intent.Configuration, base uint64, author, note string) (configuration.Change, error) {
	m, object, err := ReadManifest(ctx, s)
	if err != nil || m.Change.Version != base {
		return configuration.Change{}, errors.New("not accepted")
	}
	next := m.Next(author, note, author, []string{configuration.PartHash([]byte(author))})
	body, _ := next.Bytes()
	_, err = s.Put(ctx, configuration.ManifestKey, body, object)
	return next.Change, err
}

func histories(t *testing.T, submit submitter) (linearizable, all int) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			all++
			if porcupine.CheckOperations(acceptance, race(faulty(seed), submit)) {
				linearizable++
			}
		})
	}
	return linearizable, all
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	if good, all := histories(t, Submit); good != all {
		t.Errorf("%d of %d histories are linearizable", good, all)
	}
}

// TestRacingOperatorsOverHTTP does the same through the HTTP client and the
// stand-in of the platform, which drops connections.
func TestRacingOperatorsOverHTTP(t *testing.T) {
	for seed := range uint64(3) {
		server := stand.NewServer(stand.DefaultConfig())
		server.Store().SetFaults(stand.Faults{LoseAnswerProbability: 0.2, LoseRequestProbability: 0.1, Seed: seed})
		h := httptest.NewServer(server.Handler())
		client, err := platform.NewClient(platform.ClientConfig{BaseURL: h.URL})
		if err != nil {
			t.Fatal(err)
		}
		history := race(client, Submit)
		client.Close()
		h.Close()
		stats := server.Store().Stats()
		t.Logf("seed %d: %d operations, calls %v, %d answers lost", seed, len(history), stats.Calls, stats.Lost)
		if !porcupine.CheckOperations(acceptance, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
		if m, _, err := ReadManifest(t.Context(), server.Store().ViewFrom("")); err != nil || m.Change.Version == 0 {
			t.Errorf("seed %d: nothing was accepted: %v", seed, err)
		}
	}
}

func TestNaiveSubmissionIsNotLinearizable(t *testing.T) {
	if good, all := histories(t, naiveSubmit); good == all {
		t.Errorf("the check passes the naive submission on all %d seeds", all)
	}
}
