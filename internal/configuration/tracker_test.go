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

// storedConfiguration is an accepted configuration in the form in which the
// object API stores it, together with the decoded whole.
type storedConfiguration struct {
	manifest []byte
	parts    map[string][]byte
	decoded  intent.Configuration
}

// acceptConfiguration returns the configuration that is accepted after the
// given manifest, and its manifest. The model's version differs from one
// configuration to the next.
func acceptConfiguration(t testing.TB, before Manifest, organisations int) (storedConfiguration, Manifest) {
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
	s := storedConfiguration{parts: make(map[string][]byte), decoded: c.Canonical()}
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

// findEffect returns the first effect of the type, and false if there is none.
func findEffect[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

// requireEffect returns the first effect of the type and fails the test if
// there is none.
func requireEffect[T Effect](t testing.TB, effects []Effect) T {
	t.Helper()
	e, ok := findEffect[T](effects)
	if !ok {
		t.Fatalf("no effect of type %T among %#v", e, effects)
	}
	return e
}

// answerFetch returns the answer of an object API that stores s.
func (s storedConfiguration) answerFetch(f FetchFromStore) StoreFetchResult {
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

// startTime is the time at which newStartedTracker has put a configuration in
// force.
const startTime = 10 * time.Second

// newStartedTracker returns a Tracker that has read s from the object API and
// put it in force.
func newStartedTracker(t testing.TB, host string, s storedConfiguration) *Tracker {
	t.Helper()
	tracker := New(DefaultConfig(host, "dc-0", 1))
	effects := tracker.Step(0, Tick{})
	effects = tracker.Step(0, s.answerFetch(requireEffect[FetchFromStore](t, effects)))
	var applied Apply
	for range 100 {
		if a, ok := findEffect[Apply](effects); ok {
			applied = a
		}
		if f, ok := findEffect[FetchFromStore](effects); ok {
			effects = tracker.Step(startTime, s.answerFetch(f))
		} else if !tracker.Ready() {
			effects = tracker.Step(startTime, Tick{})
		}
	}
	if !reflect.DeepEqual(applied.Configuration, s.decoded) {
		t.Fatal("the applied configuration differs from the accepted one")
	}
	return tracker
}

// exchangeUntilDone passes requests and answers between two Trackers until the
// receiver requests nothing more from the sender, and returns the
// configurations that the receiver applied.
func exchangeUntilDone(t testing.TB, receiver, sender *Tracker, now time.Duration, effects []Effect) []Apply {
	t.Helper()
	var applied []Apply
	for range 1000 {
		if a, ok := findEffect[Apply](effects); ok {
			applied = append(applied, a)
		}
		f, ok := findEffect[FetchFromPeer](effects)
		if !ok {
			break
		}
		effects = receiver.Step(now, PeerAnswer{Host: f.Host, Answer: sender.Snapshot().Answer(f.Request)})
	}
	return applied
}

// TestTrackerReadsFromStoreAndServesPeers lets one Tracker read version 2 from
// the object API, and another one, which has version 1, get version 2 from the
// first in several answers.
func TestTrackerReadsFromStoreAndServesPeers(t *testing.T) {
	first, m := acceptConfiguration(t, Manifest{}, 4200)
	second, _ := acceptConfiguration(t, m, 4200)
	old, fresh := newStartedTracker(t, "c", first), newStartedTracker(t, "b", second)
	if !old.Ready() || old.Snapshot().Version != 1 {
		t.Fatal("version 1 is not in force")
	}
	old.Step(startTime, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}, {"c", "dc-0"}}})
	effects := old.Step(startTime, PeerVersion{Host: "b", Version: 2, Digest: ManifestDigest(second.manifest)})
	applied := exchangeUntilDone(t, old, fresh, startTime, effects)
	if len(applied) != 1 || !reflect.DeepEqual(applied[0].Configuration, second.decoded) {
		t.Errorf("%d configurations were applied, or a different one", len(applied))
	}
	if old.Snapshot().Version != 2 {
		t.Errorf("version %d is in force after the peer's answers, want 2", old.Snapshot().Version)
	}
}

// TestTrackerReplacesSilentWatch guards against a host that waits forever on a
// watch that never ends. The silent watch must be cancelled and reported, and
// another one with a new id must follow.
func TestTrackerReplacesSilentWatch(t *testing.T) {
	s, _ := acceptConfiguration(t, Manifest{}, 2)
	tracker := newStartedTracker(t, "a", s)
	tracker.Step(startTime, WatchResult{ID: tracker.watch.id, ReachedStoreVersion: 1})
	length := tracker.watchWait + tracker.config.WatchGrace
	silent := startTime + length
	effects := tracker.Step(silent, Tick{})
	requireEffect[CancelWatch](t, effects)
	if r := requireEffect[Report](t, effects); r.Kind != ReportWatchSilent {
		t.Errorf("unexpected report %v", r)
	}
	old := requireEffect[StartWatch](t, effects)
	effects = tracker.Step(silent+length, Tick{})
	requireEffect[CancelWatch](t, effects)
	if again, ok := findEffect[StartWatch](effects); ok && again.ID == old.ID {
		t.Error("the new watch has the id of the silent one")
	}
}

// TestFreshTrackerWaitsForAllPeersDuringStoreOutage starts a process that
// cannot read the object API. It must not put the older version of the first
// peer in force before the other peers have reported theirs.
func TestFreshTrackerWaitsForAllPeersDuringStoreOutage(t *testing.T) {
	first, m := acceptConfiguration(t, Manifest{}, 2)
	second, _ := acceptConfiguration(t, m, 2)
	old, newer := newStartedTracker(t, "a", first), newStartedTracker(t, "b", second)
	fresh := New(DefaultConfig("c", "dc-0", 1))
	fresh.Step(0, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}, {"c", "dc-0"}}})
	for now := range 100 * time.Second / MaxTickInterval {
		effects := fresh.Step(now*MaxTickInterval, Tick{})
		if f, ok := findEffect[FetchFromStore](effects); ok {
			fresh.Step(now*MaxTickInterval, StoreFetchResult{ID: f.ID, Outcome: OutcomeFailed})
		}
	}
	if fresh.Ready() {
		t.Fatal("ready without a configuration")
	}
	now := 100 * time.Second
	serve := func(effects []Effect) []Apply {
		f, ok := findEffect[FetchFromPeer](effects)
		if ok && f.Host == "a" {
			return exchangeUntilDone(t, fresh, old, now, effects)
		}
		return exchangeUntilDone(t, fresh, newer, now, effects)
	}
	applied := serve(fresh.Step(now, PeerVersion{Host: "a", Version: 1}))
	if len(applied) > 0 {
		t.Fatal("applied a peer's version before the other peers had reported theirs")
	}
	effects := fresh.Step(now, PeerVersion{Host: "b", Version: 2})
	applied = serve(effects)
	if len(applied) != 1 || applied[0].Version != 2 {
		t.Fatalf("applied %v, want only version 2", applied)
	}
}

// TestAppliedVersionsRiseUnderRandomEvents sends events in random order, with
// lost, repeated, mixed-up and damaged answers. The applied versions must rise,
// and each must have the content that was accepted.
func TestAppliedVersionsRiseUnderRandomEvents(t *testing.T) {
	var versions []storedConfiguration
	var snapshots []Snapshot
	m := Manifest{}
	for range 4 {
		var s storedConfiguration
		s, m = acceptConfiguration(t, m, 100)
		versions = append(versions, s)
		version := uint64(len(versions))
		snapshots = append(snapshots, Snapshot{Version: version, Digest: ManifestDigest(s.manifest), Manifest: s.manifest, Parts: s.parts})
	}
	applies := 0
	defer func() {
		if applies == 0 {
			t.Error("no run applied a version, so the test checked nothing")
		}
	}()
	rapid.Check(t, func(rt *rapid.T) {
		tracker := New(DefaultConfig(rapid.SampledFrom([]string{"a", "z"}).Draw(rt, "self"), "dc-0", 1))
		var pending []Effect
		var now time.Duration
		lastVersion := uint64(0)
		for range 60 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			e := randomEvent(rt, pending, versions, snapshots)
			for _, effect := range tracker.Step(now, e) {
				a, ok := effect.(Apply)
				if !ok {
					pending = append(pending, effect)
					continue
				}
				if a.Version <= lastVersion {
					rt.Fatalf("applied version %d after version %d", a.Version, lastVersion)
				}
				lastVersion = a.Version
				applies++
				if a.Digest != snapshots[a.Version-1].Digest {
					rt.Fatalf("applied version %d with another manifest than the accepted one", a.Version)
				}
				if !reflect.DeepEqual(a.Configuration, versions[a.Version-1].decoded) {
					rt.Fatalf("applied version %d with other content than the accepted one", a.Version)
				}
			}
		}
	})
}

// randomEvent returns an answer to a recent effect, a change of members, a
// report of a peer's version, or a Tick.
func randomEvent(rt *rapid.T, pending []Effect, versions []storedConfiguration, snapshots []Snapshot) Event {
	host := rapid.SampledFrom([]string{"m", "n", "stranger"}).Draw(rt, "host")
	i := rapid.IntRange(0, len(versions)-1).Draw(rt, "version")
	if len(pending) > 0 && rapid.IntRange(0, 3).Draw(rt, "answer") > 0 {
		effect := pending[rapid.IntRange(max(0, len(pending)-4), len(pending)-1).Draw(rt, "effect")]
		if e := randomAnswerTo(rt, effect, versions[i], snapshots[i]); e != nil {
			return e
		}
	}
	switch rapid.IntRange(0, 3).Draw(rt, "event") {
	case 0:
		return MembersChanged{Members: []Member{{"m", "dc-0"}, {host, "dc-0"}}}
	case 1:
		claimed := rapid.SampledFrom([]uint64{0, 1, 2, 3, 4, 9}).Draw(rt, "claimed")
		return PeerVersion{Host: host, Version: claimed, Digest: snapshots[i].Digest}
	default:
		return Tick{}
	}
}

// randomAnswerTo returns an answer to the effect, which may fail or be damaged,
// or nil if the effect has none.
func randomAnswerTo(rt *rapid.T, effect Effect, s storedConfiguration, snapshot Snapshot) Event {
	switch effect := effect.(type) {
	case StartWatch:
		return WatchResult{ID: effect.ID, Manifest: s.manifest, ReachedStoreVersion: effect.AfterStoreVersion}
	case FetchFromStore:
		if rapid.Bool().Draw(rt, "fail") {
			return StoreFetchResult{ID: effect.ID, Outcome: OutcomeFailed}
		}
		return s.answerFetch(effect)
	case FetchFromPeer:
		a := snapshot.Answer(effect.Request)
		if rapid.IntRange(0, 4).Draw(rt, "damage") == 0 {
			corruptChunks(rt, a.Chunks)
		}
		return PeerAnswer{Host: effect.Host, Answer: a}
	}
	return nil
}

// corruptChunks changes the content of chunks, either by one bit or to other
// valid content.
func corruptChunks(rt *rapid.T, chunks []Chunk) {
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

// TestTrackerRejectsUnreadableVersions offers a manifest of a newer format and
// a configuration with findings. Both must be reported as rejected, and the
// version in force must stay.
func TestTrackerRejectsUnreadableVersions(t *testing.T) {
	s, m := acceptConfiguration(t, Manifest{}, 2)
	tracker := newStartedTracker(t, "a", s)
	endWatch := func(raw []byte) []Effect {
		return tracker.Step(startTime, WatchResult{ID: tracker.watch.id, Manifest: raw, ReachedStoreVersion: 1})
	}
	next := m.Next("ana", "newer format", "n", m.Parts)
	next.Format = CurrentFormat + 1
	raw, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r := requireEffect[Report](t, endWatch(raw)); r.Kind != ReportVersionRejected {
		t.Errorf("unexpected report %v", r)
	}
	invalid := m.Next("ana", "no organisations", "n", m.Parts[:1])
	if raw, err = invalid.Encode(); err != nil {
		t.Fatal(err)
	}
	if r := requireEffect[Report](t, endWatch(raw)); r.Kind != ReportVersionRejected || tracker.Snapshot().Version != 1 {
		t.Errorf("unexpected report %v, or version %d is in force", r, tracker.Snapshot().Version)
	}
}

// BenchmarkStep measures a Step in a fleet of 470 members, and the application
// of a configuration with 4200 organisations.
func BenchmarkStep(b *testing.B) {
	s, m := acceptConfiguration(b, Manifest{}, 4200)
	next, _ := acceptConfiguration(b, m, 4200)
	b.Run("Tick470Members", func(b *testing.B) {
		tracker := newStartedTracker(b, "a", s)
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
			tracker := newStartedTracker(b, "a", s)
			effects := tracker.Step(startTime, WatchResult{ID: tracker.watch.id, Manifest: next.manifest, ReachedStoreVersion: 2})
			f := requireEffect[FetchFromStore](b, effects)
			b.StartTimer()
			effects = tracker.Step(startTime, next.answerFetch(f))
			requireEffect[Apply](b, effects)
		}
	})
}

// TestTrackerAvoidsPeerThatLacksClaimedVersion guards against endless requests
// to a peer that does not have what it claims. The peer answers every request
// with an older manifest, under a version that does not exist.
func TestTrackerAvoidsPeerThatLacksClaimedVersion(t *testing.T) {
	s, _ := acceptConfiguration(t, Manifest{}, 2)
	tracker, wrongPeer := newStartedTracker(t, "a", s), newStartedTracker(t, "b", s)
	tracker.Step(startTime, MembersChanged{Members: []Member{{"a", "dc-0"}, {"b", "dc-0"}}})
	effects := tracker.Step(startTime, PeerVersion{Host: "b", Version: 9})
	for requests := 0; ; requests++ {
		f, ok := findEffect[FetchFromPeer](effects)
		if !ok {
			break
		}
		if requests > 1 {
			t.Fatal("the peer that lacks the claimed version was asked a third time")
		}
		answer := wrongPeer.Snapshot().Answer(f.Request)
		answer.Version = 9
		effects = tracker.Step(startTime, PeerAnswer{Host: "b", Answer: answer})
	}
}
