package configuration

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

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
	if s.manifest, err = m.Encode(); err != nil {
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

func (s stored) answer(f FetchFromStore) StoreFetchResult {
	r := StoreFetchResult{ID: f.ID}
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
	var applied Apply
	for range 100 {
		if a, ok := find[Apply](effects); ok {
			applied = a
		}
		if f, ok := find[FetchFromStore](effects); ok {
			effects = tracker.Step(startTime, s.answer(f))
		} else if !tracker.Ready() {
			effects = tracker.Step(startTime, Tick{})
		}
	}
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
		effects = to.Step(now, PeerAnswer{Host: f.Host, Answer: from.Snapshot().Answer(f.Request)})
	}
	return applied
}

func TestReadsFromStoreAndServesPeers(t *testing.T) {
	first, m := accepted(t, Manifest{}, 4200)
	second, _ := accepted(t, m, 4200)
	old, fresh := started(t, "c", first), started(t, "b", second)
	if !old.Ready() || old.Snapshot().Version != 1 {
		t.Fatal("version 1 is not in force")
	}
	old.Step(startTime, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}, {"c", "dc-0"}}})
	effects := old.Step(startTime, PeerVersion{Host: "b", Version: 2, Digest: ManifestDigest(second.manifest)})
	applied := converse(t, old, fresh, startTime, effects)
	if len(applied) != 1 || !reflect.DeepEqual(applied[0].Configuration, second.whole) {
		t.Errorf("%d configurations were applied, or a different one", len(applied))
	}
	if old.Snapshot().Version != 2 {
		t.Errorf("version %d is in force after the peer's answers, want 2", old.Snapshot().Version)
	}
}

func TestSilentWatchIsReplaced(t *testing.T) {
	s, _ := accepted(t, Manifest{}, 2)
	tracker := started(t, "a", s)
	tracker.Step(startTime, WatchResult{ID: tracker.watch.id, ReachedStoreVersion: 1})
	length := tracker.watchWait + tracker.config.WatchGrace
	silent := startTime + length
	effects := tracker.Step(silent, Tick{})
	must[CancelWatch](t, effects)
	if r := must[Report](t, effects); r.Kind != ReportWatchSilent {
		t.Errorf("report %v", r)
	}
	old := must[StartWatch](t, effects)
	effects = tracker.Step(silent+length, Tick{})
	must[CancelWatch](t, effects)
	if again, ok := find[StartWatch](effects); ok && again.ID == old.ID {
		t.Error("the id of a watch was used again")
	}
}

// TestFreshProcessInOutage starts a process that cannot read the object API.
func TestFreshProcessInOutage(t *testing.T) {
	first, m := accepted(t, Manifest{}, 2)
	second, _ := accepted(t, m, 2)
	old, newer := started(t, "a", first), started(t, "b", second)
	fresh := New(DefaultConfig("c", "dc-0", 1))
	fresh.Step(0, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}, {"c", "dc-0"}}})
	for now := range 100 * time.Second / MaxTickInterval {
		effects := fresh.Step(now*MaxTickInterval, Tick{})
		if f, ok := find[FetchFromStore](effects); ok {
			fresh.Step(now*MaxTickInterval, StoreFetchResult{ID: f.ID, Outcome: OutcomeFailed})
		}
	}
	if fresh.Ready() {
		t.Fatal("ready without a configuration")
	}
	now := 100 * time.Second
	serve := func(effects []Effect) []Apply {
		f, ok := find[FetchFromPeer](effects)
		if ok && f.Host == "a" {
			return converse(t, fresh, old, now, effects)
		}
		return converse(t, fresh, newer, now, effects)
	}
	applied := serve(fresh.Step(now, PeerVersion{Host: "a", Version: 1}))
	if len(applied) > 0 {
		t.Fatal("took a peer's version before the others were heard")
	}
	effects := fresh.Step(now, PeerVersion{Host: "b", Version: 2})
	applied = serve(effects)
	if len(applied) != 1 || applied[0].Version != 2 {
		t.Fatalf("applied %v, want version 2 alone", applied)
	}
}

// TestAnyEventsKeepVersionsRising feeds events in any order, with lost,
// repeated, mixed-up and damaged answers.
func TestAnyEventsKeepVersionsRising(t *testing.T) {
	var versions []stored
	var holdings []Snapshot
	m := Manifest{}
	for range 4 {
		var s stored
		s, m = accepted(t, m, 100)
		versions = append(versions, s)
		version := uint64(len(versions))
		holdings = append(holdings, Snapshot{Version: version, Digest: ManifestDigest(s.manifest), Manifest: s.manifest, Parts: s.parts})
	}
	applies := 0
	defer func() {
		if applies == 0 {
			t.Error("nothing was ever applied; the check shows nothing")
		}
	}()
	rapid.Check(t, func(rt *rapid.T) {
		tracker := New(DefaultConfig(rapid.SampledFrom([]string{"a", "z"}).Draw(rt, "self"), "dc-0", 1))
		var pending []Effect
		var now time.Duration
		last := uint64(0)
		for range 60 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			e := anyEvent(rt, pending, versions, holdings)
			for _, effect := range tracker.Step(now, e) {
				a, ok := effect.(Apply)
				if !ok {
					pending = append(pending, effect)
					continue
				}
				if a.Version <= last {
					rt.Fatalf("version %d after %d", a.Version, last)
				}
				last = a.Version
				applies++
				if a.Digest != holdings[a.Version-1].Digest {
					rt.Fatalf("version %d has a different manifest", a.Version)
				}
				if !reflect.DeepEqual(a.Configuration, versions[a.Version-1].whole) {
					rt.Fatalf("version %d has a different content", a.Version)
				}
			}
		}
	})
}

func anyEvent(rt *rapid.T, pending []Effect, versions []stored, holdings []Snapshot) Event {
	host := rapid.SampledFrom([]string{"m", "n", "stranger"}).Draw(rt, "host")
	i := rapid.IntRange(0, len(versions)-1).Draw(rt, "version")
	if len(pending) > 0 && rapid.IntRange(0, 3).Draw(rt, "answer") > 0 {
		effect := pending[rapid.IntRange(max(0, len(pending)-4), len(pending)-1).Draw(rt, "effect")]
		if e := answerTo(rt, effect, versions[i], holdings[i]); e != nil {
			return e
		}
	}
	switch rapid.IntRange(0, 3).Draw(rt, "event") {
	case 0:
		return MembersChanged{Members: []Member{{"m", "dc-0"}, {host, "dc-0"}}}
	case 1:
		claimed := rapid.SampledFrom([]uint64{0, 1, 2, 3, 4, 9}).Draw(rt, "claimed")
		return PeerVersion{Host: host, Version: claimed, Digest: holdings[i].Digest}
	default:
		return Tick{}
	}
}

func answerTo(rt *rapid.T, effect Effect, s stored, h Snapshot) Event {
	switch effect := effect.(type) {
	case StartWatch:
		return WatchResult{ID: effect.ID, Manifest: s.manifest, ReachedStoreVersion: effect.AfterStoreVersion}
	case FetchFromStore:
		if rapid.Bool().Draw(rt, "fail") {
			return StoreFetchResult{ID: effect.ID, Outcome: OutcomeFailed}
		}
		return s.answer(effect)
	case FetchFromPeer:
		a := h.Answer(effect.Request)
		if rapid.IntRange(0, 4).Draw(rt, "damage") == 0 {
			damage(rt, a.Chunks)
		}
		return PeerAnswer{Host: effect.Host, Answer: a}
	}
	return nil
}

// damage changes what the chunks hold, by a bit or into other valid content.
func damage(rt *rapid.T, chunks []Chunk) {
	for i, c := range chunks {
		switch {
		case len(c.Bytes) == 0:
		case rapid.Bool().Draw(rt, "bit"):
			chunks[i].Bytes = append([]byte(nil), c.Bytes...)
			chunks[i].Bytes[0] ^= 1
		case c.Part == ManifestPart:
			chunks[i].Bytes = bytes.ReplaceAll(c.Bytes, []byte("ana"), []byte("eve"))
		default:
			other, err := encodePart(section{DataCentres: []intent.DataCentre{{Name: "elsewhere"}}})
			if err != nil {
				rt.Fatal(err)
			}
			chunks[i].Bytes, chunks[i].Total = other, len(other)
		}
	}
}

func TestRejectsWhatItCannotRead(t *testing.T) {
	s, m := accepted(t, Manifest{}, 2)
	tracker := started(t, "a", s)
	watch := func(raw []byte) []Effect {
		return tracker.Step(startTime, WatchResult{ID: tracker.watch.id, Manifest: raw, ReachedStoreVersion: 1})
	}
	next := m.Next("ana", "newer format", "n", m.Parts)
	next.Format = CurrentFormat + 1
	raw, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r := must[Report](t, watch(raw)); r.Kind != ReportVersionRejected {
		t.Errorf("report %v", r)
	}
	empty := m.Next("ana", "no organisations", "n", m.Parts[:1])
	if raw, err = empty.Encode(); err != nil {
		t.Fatal(err)
	}
	if r := must[Report](t, watch(raw)); r.Kind != ReportVersionRejected || tracker.Snapshot().Version != 1 {
		t.Errorf("report %v, version %d", r, tracker.Snapshot().Version)
	}
}

func BenchmarkStep(b *testing.B) {
	s, m := accepted(b, Manifest{}, 4200)
	next, _ := accepted(b, m, 4200)
	b.Run("Tick470Members", func(b *testing.B) {
		tracker := started(b, "a", s)
		var members []Member
		for i := range 470 {
			members = append(members, Member{Host: fmt.Sprintf("host-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%16)})
		}
		tracker.Step(startTime, MembersChanged{Members: members})
		b.ReportAllocs()
		for b.Loop() {
			tracker.Step(startTime, PeerVersion{Host: "host-007", Version: 1})
		}
	})
	b.Run("Apply4200Organisations", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			tracker := started(b, "a", s)
			effects := tracker.Step(startTime, WatchResult{ID: tracker.watch.id, Manifest: next.manifest, ReachedStoreVersion: 2})
			f := must[FetchFromStore](b, effects)
			b.StartTimer()
			effects = tracker.Step(startTime, next.answer(f))
			must[Apply](b, effects)
		}
	})
}

// TestPeerThatLacksWhatItClaimsIsAvoided answers every request with an older
// manifest under a version that does not exist.
func TestPeerThatLacksWhatItClaimsIsAvoided(t *testing.T) {
	s, _ := accepted(t, Manifest{}, 2)
	tracker, liar := started(t, "a", s), started(t, "b", s)
	tracker.Step(startTime, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}}})
	effects := tracker.Step(startTime, PeerVersion{Host: "b", Version: 9})
	for requests := 0; ; requests++ {
		f, ok := find[FetchFromPeer](effects)
		if !ok {
			break
		}
		if requests > 1 {
			t.Fatal("the peer is asked again and again")
		}
		answer := liar.Snapshot().Answer(f.Request)
		answer.Version = 9
		effects = tracker.Step(startTime, PeerAnswer{Host: "b", Answer: answer})
	}
}
