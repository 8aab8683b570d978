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

// newConfiguration returns a valid configuration with the given number of
// organisations, in which the first organisation has the given share.
func newConfiguration(organisations, share int) intent.Configuration {
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

// TestSubmitThenRead submits several versions and reads each back. It also
// checks that a change of one organisation takes only three calls: a read of
// the manifest and the writes of one part and of the manifest.
func TestSubmitThenRead(t *testing.T) {
	ctx, store := context.Background(), newMemoryStore()
	if _, err := Read(ctx, store); !errors.Is(err, ErrNoConfiguration) {
		t.Fatalf("read without an accepted configuration: %v", err)
	}
	for version := range uint64(3) {
		c := newConfiguration(4200, int(version)+1)
		change, err := Submit(ctx, store, c, version, "ana", "raise the share")
		if err != nil || change.Version != version+1 {
			t.Fatalf("submission on version %d: %v %v", version, change, err)
		}
		got, err := Read(ctx, store)
		if err != nil || !reflect.DeepEqual(got.Configuration, c) {
			t.Fatalf("version %d differs from the submitted configuration: %v", change.Version, err)
		}
	}
	callsBefore := store.calls
	if _, err := Submit(ctx, store, newConfiguration(4200, 9), 3, "ana", "again"); err != nil {
		t.Fatal(err)
	}
	if calls := store.calls - callsBefore; calls != 3 {
		t.Errorf("a change of one organisation took %d calls, want 3: read, part, manifest", calls)
	}
}

// TestSubmitReturnsFindings checks that an invalid submission is refused with
// all findings before the object API is called.
func TestSubmitReturnsFindings(t *testing.T) {
	store := newMemoryStore()
	_, err := Submit(context.Background(), store, intent.Configuration{}, 0, "", strings.Repeat("n", 201))
	var refused finding.Error
	if !errors.As(err, &refused) || len(refused.Findings) != 5 || store.calls != 0 {
		t.Errorf("want 5 findings and no call, got %v and %d calls", err, store.calls)
	}
}

// TestConflictErrorNamesBothChanges submits two changes on the same base. The
// error of the second must name the author and the note of both.
func TestConflictErrorNamesBothChanges(t *testing.T) {
	ctx, store := context.Background(), newMemoryStore()
	if _, err := Submit(ctx, store, newConfiguration(2, 1), 0, "ana", "first"); err != nil {
		t.Fatal(err)
	}
	_, err := Submit(ctx, store, newConfiguration(2, 2), 0, "kofi", "second")
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("want a ConflictError, got %v", err)
	}
	for _, name := range []string{"ana", "first", "kofi", "second"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("the conflict error does not name %q: %v", name, err)
		}
	}
}

// TestSubmitReadsBackAfterLostAnswer loses the answer to the update of the
// manifest, both when the update took effect and when it did not. In half of
// the cases another operator's change is accepted before the outcome is read
// back.
func TestSubmitReadsBackAfterLostAnswer(t *testing.T) {
	for _, effect := range []bool{true, false} {
		for _, rival := range []bool{true, false} {
			t.Run(fmt.Sprintf("effect=%t rival=%t", effect, rival), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { submitWithLostAnswer(t, effect, rival) })
			})
		}
	}
}

// submitWithLostAnswer submits a change that loses the answer to its first
// update of the manifest. If rival is true, another change is accepted before
// the read back. The submission must end in a conflict only if the rival's
// change was accepted instead of its own.
func submitWithLostAnswer(t *testing.T, effect, rival bool) {
	ctx, store := context.Background(), newMemoryStore()
	if _, err := Submit(ctx, store, newConfiguration(2, 1), 0, "ana", "first"); err != nil {
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
			if _, err := Submit(ctx, store, newConfiguration(2, 3), m.Change.Version, "kofi", "rival"); err != nil {
				t.Error(err)
			}
		}
		return nil, true
	}
	rivalAccepted := rival && !effect
	_, err := Submit(ctx, store, newConfiguration(2, 2), 1, "ana", "second")
	var conflict *ConflictError
	if rivalAccepted != errors.As(err, &conflict) || (!rivalAccepted && err != nil) {
		t.Errorf("unexpected outcome of the submission: %v", err)
	}
}

// TestSubmitReportsUnknownOutcomeWhenUnreadable makes the object API
// unavailable right after the update of the manifest, whose answer is lost. The
// error must be an *UnknownOutcomeError with the nonce of the change.
func TestSubmitReportsUnknownOutcomeWhenUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, down := newMemoryStore(), false
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
		_, err := Submit(context.Background(), store, newConfiguration(2, 1), 0, "ana", "first")
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.Change.Nonce == "" {
			t.Errorf("want an UnknownOutcomeError with the nonce of the change, got %v", err)
		}
	})
}

// TestRemoveUnusedPartsDuringSubmissions runs submissions and removals of
// unused parts nested in each other's calls to the object API. It guards
// against the removal of a part that a submission in progress relies on: every
// accepted configuration must stay readable.
func TestRemoveUnusedPartsDuringSubmissions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, store := context.Background(), newMemoryStore()
		depth, budget := 0, 12
		runRandomOperation := func() {
			depth++
			defer func() { depth-- }()
			if rapid.Bool().Draw(rt, "sweep") {
				if _, err := RemoveUnusedParts(ctx, store); err != nil {
					rt.Fatal(err)
				}
				return
			}
			m, _, err := ReadManifest(ctx, store)
			if err != nil {
				rt.Fatal(err)
			}
			share := rapid.IntRange(1, 3).Draw(rt, "share")
			_, err = Submit(ctx, store, newConfiguration(2, share), m.Change.Version, "ana", "")
			var conflict *ConflictError
			if err != nil && !errors.As(err, &conflict) {
				rt.Fatal(err)
			}
		}
		store.fault = func(string, string) (error, bool) {
			if depth < 4 && budget > 0 && rapid.IntRange(0, 3).Draw(rt, "nest") == 0 {
				budget--
				runRandomOperation()
			}
			return nil, true
		}
		for range 4 {
			runRandomOperation()
		}
		store.fault = nil
		if _, err := Read(ctx, store); err != nil && !errors.Is(err, ErrNoConfiguration) {
			rt.Fatalf("the accepted configuration is damaged: %v", err)
		}
		if _, err := RemoveUnusedParts(ctx, store); err != nil {
			rt.Fatal(err)
		}
		if _, err := Read(ctx, store); err != nil && !errors.Is(err, ErrNoConfiguration) {
			rt.Fatalf("the removal of unused parts damaged the accepted configuration: %v", err)
		}
		checkNoUnusedPartsRemain(rt, store)
	})
}

// checkNoUnusedPartsRemain checks that, after one more accepted change,
// RemoveUnusedParts removes every part that the accepted manifest does not
// name.
func checkNoUnusedPartsRemain(rt *rapid.T, store *memoryStore) {
	ctx := context.Background()
	m, _, _ := ReadManifest(ctx, store)
	if _, err := Submit(ctx, store, newConfiguration(3, 7), m.Change.Version, "ana", "last"); err != nil {
		rt.Fatal(err)
	}
	if _, err := RemoveUnusedParts(ctx, store); err != nil {
		rt.Fatal(err)
	}
	m, _, _ = ReadManifest(ctx, store)
	if left := len(store.objects) - 1; left != len(m.Parts) {
		rt.Errorf("%d parts remain, but the manifest names %d", left, len(m.Parts))
	}
}

// operation is the input of one call in a history of concurrent operators: a
// read, or a submission on the version base. The author of a submission serves
// as its nonce.
type operation struct {
	read  bool
	base  uint64
	nonce string
}

// outcome is the result of an operation: the version that a read returned, or
// how a submission ended.
type outcome struct {
	version  uint64
	nonce    string
	accepted bool
	unknown  bool
}

// state is the state of the sequential model: the accepted version and the
// nonce of its change.
type state struct {
	version uint64
	nonce   string
}

// acceptanceModel is the sequential model that a history must match. A
// submission can be accepted only if it is based on the newest version, and one
// that is refused changes nothing. A submission of unknown outcome may have
// been accepted or not. A read returns the newest version.
var acceptanceModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, input, output any) []any {
		now, op, out := s.(state), input.(operation), output.(outcome)
		after := state{version: op.base + 1, nonce: op.nonce}
		fits := op.base == now.version
		switch {
		case op.read:
			fits = out.version == now.version && out.nonce == now.nonce
			return statesIf(fits, now)
		case out.accepted:
			return statesIf(fits, after)
		case out.unknown && fits:
			return []any{now, after}
		default:
			return []any{now}
		}
	},
}).ToModel()

// statesIf returns the state as the only possible next state, or no state if
// the step is not possible.
func statesIf(possible bool, s state) []any {
	if possible {
		return []any{s}
	}
	return nil
}

// submitter is the signature of Submit, which naiveSubmit shares.
type submitter func(ctx context.Context, s platform.Store, c intent.Configuration, base uint64, author, note string) (configuration.Change, error)

// newFaultyStore returns an object API in memory that is slow, refuses some
// calls and loses some answers, as drawn from the seed.
func newFaultyStore(seed uint64) *memoryStore {
	store := newMemoryStore()
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

// runOperators runs four operators that read and submit concurrently on an
// object API that may lose answers, and returns the history of their
// operations.
func runOperators(store platform.Store, submit submitter) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			for i := range 4 {
				base := readAndRecord(store, client, start, &mu, &history)
				name := fmt.Sprintf("operator-%d-%d", client, i)
				call := time.Since(start)
				_, err := submit(context.Background(), store, newConfiguration(2, client+1), base, name, "")
				out := outcome{accepted: err == nil, unknown: errors.As(err, new(*UnknownOutcomeError))}
				recordOperation(&mu, &history, client, operation{base: base, nonce: name}, out, call, time.Since(start))
			}
		})
	}
	operators.Wait()
	readAndRecord(store, 0, start, &mu, &history)
	return history
}

// readAndRecord reads the accepted version, adds the read to the history and
// returns the version.
func readAndRecord(store platform.Store, client int, start time.Time, mu *sync.Mutex, history *[]porcupine.Operation) uint64 {
	call := time.Since(start)
	m, _, err := ReadManifest(context.Background(), store)
	if err == nil {
		out := outcome{version: m.Change.Version, nonce: m.Change.Author}
		recordOperation(mu, history, client, operation{read: true}, out, call, time.Since(start))
	}
	return m.Change.Version
}

// recordOperation adds an operation with its start and end times to the
// history.
func recordOperation(mu *sync.Mutex, history *[]porcupine.Operation, client int, in operation, out outcome, call, end time.Duration) {
	mu.Lock()
	defer mu.Unlock()
	*history = append(*history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
}

// naiveSubmit is a wrong implementation of Submit: it treats a lost answer as a
// failure and every conflict as final.
func naiveSubmit(ctx context.Context, s platform.Store, c intent.Configuration, base uint64, author, note string) (configuration.Change, error) {
	m, objectVersion, err := ReadManifest(ctx, s)
	if err != nil || m.Change.Version != base {
		return configuration.Change{}, errors.New("not accepted")
	}
	next := m.Next(author, note, author, []string{configuration.PartHash([]byte(author))})
	body, _ := next.Encode()
	_, err = s.Put(ctx, configuration.ManifestKey, body, objectVersion)
	return next.Change, err
}

// countLinearizable runs concurrent operators once per seed and counts the
// histories that are linearizable.
func countLinearizable(t *testing.T, submit submitter) (linearizable, all int) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			all++
			if porcupine.CheckOperations(acceptanceModel, runOperators(newFaultyStore(seed), submit)) {
				linearizable++
			}
		})
	}
	return linearizable, all
}

// TestConcurrentSubmissionsAreLinearizable checks that concurrent submissions
// over an object API that loses answers give a linearizable history for every
// seed.
func TestConcurrentSubmissionsAreLinearizable(t *testing.T) {
	if linearizable, all := countLinearizable(t, Submit); linearizable != all {
		t.Errorf("only %d of %d histories are linearizable", linearizable, all)
	}
}

// TestConcurrentSubmissionsOverHTTPAreLinearizable does the same through the
// HTTP client and the platform's stand-in, which drops connections.
func TestConcurrentSubmissionsOverHTTPAreLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		server := stand.NewServer(stand.DefaultConfig())
		server.Store().SetFaults(stand.Faults{LoseAnswerProbability: 0.2, LoseRequestProbability: 0.1, Seed: seed})
		h := httptest.NewServer(server.Handler())
		client, err := platform.NewClient(platform.ClientConfig{BaseURL: h.URL})
		if err != nil {
			t.Fatal(err)
		}
		history := runOperators(client, Submit)
		client.Close()
		h.Close()
		stats := server.Store().Stats()
		t.Logf("seed %d: %d operations, calls %v, %d answers lost", seed, len(history), stats.Calls, stats.Lost)
		if !porcupine.CheckOperations(acceptanceModel, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
		if m, _, err := ReadManifest(t.Context(), server.Store().ViewFrom("")); err != nil || m.Change.Version == 0 {
			t.Errorf("seed %d: nothing was accepted: %v", seed, err)
		}
	}
}

// TestNaiveSubmissionsAreNotLinearizable checks that the check for
// linearizability finds the fault of naiveSubmit for at least one seed.
func TestNaiveSubmissionsAreNotLinearizable(t *testing.T) {
	if linearizable, all := countLinearizable(t, naiveSubmit); linearizable == all {
		t.Errorf("the check found no fault of naiveSubmit in the histories of %d seeds", all)
	}
}
