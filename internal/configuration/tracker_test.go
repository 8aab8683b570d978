package configuration

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// stored is an accepted configuration as the object API holds it.
type stored struct {
	manifest []byte
	parts    map[string][]byte
	whole    intent.Configuration
}

func accepted(t testing.TB, before Manifest, organisations int) (stored, Manifest) {
	t.Helper()
	c := intent.New()
	c.AddDataCentres("lima", "dc-0", "dc-1", "dc-2")
	c.AddModel(intent.NewModel("moderator", fmt.Sprintf("v%d", before.Change.Version+1), 1000).PlacedIn("dc-0", 0))
	c.AddKinds(intent.ModelKind("comment"))
	for i := range organisations {
		c.AddOrganisations(intent.NewOrganisation(fmt.Sprintf("org-%04d", i), 1))
	}
	parts, err := Split(*c)
	if err != nil {
		t.Fatal(err)
	}
	s := stored{parts: make(map[string][]byte), whole: c.Canonical()}
	var hashes []string
	for _, p := range parts {
		hashes = append(hashes, p.Hash)
		s.parts[p.Hash] = p.Bytes
	}
	m := before.Next("ana", "note", fmt.Sprint(before.Change.Version), hashes)
	if s.manifest, err = m.Bytes(); err != nil {
		t.Fatal(err)
	}
	return s, m
}

// find returns the first effect of a type.
func find[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func must[T Effect](t testing.TB, effects []Effect) T {
	t.Helper()
	e, ok := find[T](effects)
	if !ok {
		t.Fatalf("no %T among %#v", e, effects)
	}
	return e
}

func (s stored) answer(f FetchFromStore) FetchResult {
	r := FetchResult{ID: f.ID}
	if f.Manifest {
		r.Manifest = s.manifest
	}
	for _, hash := range f.Parts {
		if body, ok := s.parts[hash]; ok {
			r.Parts = append(r.Parts, Part{Hash: hash, Bytes: body})
		}
	}
	return r
}

// startTime is when started has put a configuration in force.
const startTime = 10 * time.Second

// started returns a Tracker that has s in force, read from the object API.
func started(t testing.TB, host string, s stored) *Tracker {
	t.Helper()
	tracker := New(DefaultConfig(host, "dc-0", 1))
	effects := tracker.Step(0, Tick{})
	effects = tracker.Step(0, s.answer(must[FetchFromStore](t, effects)))
	for range 100 {
		if f, ok := find[FetchFromStore](effects); ok {
			effects = tracker.Step(startTime, s.answer(f))
		} else if !tracker.Ready() {
			effects = tracker.Step(startTime, Tick{})
		}
	}
	applied := must[Apply](t, effects)
	if !reflect.DeepEqual(applied.Configuration, s.whole) {
		t.Fatal("the configuration applied differs from the one accepted")
	}
	return tracker
}

// converse passes requests and answers between two Trackers until the first
// needs nothing more, and returns what it applied.
func converse(t testing.TB, to, from *Tracker, now time.Duration, effects []Effect) []Apply {
	t.Helper()
	var applied []Apply
	for range 1000 {
		if a, ok := find[Apply](effects); ok {
			applied = append(applied, a)
		}
		f, ok := find[FetchFromPeer](effects)
		if !ok {
			break
		}
		effects = to.Step(now, PeerAnswer{Host: f.Host, Answer: from.Holding().Answer(f.Request)})
	}
	return applied
}

func TestReadsFromStoreAndServesPeers(t *testing.T) {
	first, m := accepted(t, Manifest{}, 4200)
	second, _ := accepted(t, m, 4200)
	old, fresh := started(t, "c", first), started(t, "b", second)
	if !old.Ready() || old.Holding().Version != 1 {
		t.Fatal("version 1 is not in force")
	}
	old.Step(startTime, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}, {"c", "dc-0"}}})
	effects := old.Step(startTime, PeerVersion{Host: "b", Version: 2, Digest: Digest(second.manifest)})
	applied := converse(t, old, fresh, startTime, effects)
	if len(applied) != 1 || !reflect.DeepEqual(applied[0].Configuration, second.whole) {
		t.Errorf("%d configurations were applied, or a different one", len(applied))
	}
	if old.Holding().Version != 2 {
		t.Errorf("version %d is in force after the peer's answers, want 2", old.Holding().Version)
	}
}
