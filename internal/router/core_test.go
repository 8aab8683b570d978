package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// testConfig returns the configuration of a host in data centre a.
func testConfig(name string, seed uint64) Config {
	d := dispatch.DefaultConfig()
	d.Host, d.Incarnation, d.DataCentre, d.Seed = name, 1, "a", seed
	m := membership.DefaultConfig()
	m.Seed = seed
	m.Self = membership.Host{Name: name, DataCentre: "a", Address: name + ":1", Incarnation: 1}
	return Config{
		Dispatch:           d,
		Membership:         m,
		Configuration:      configuration.DefaultConfig(name, "a", seed),
		MembershipInterval: 100 * time.Millisecond,
	}
}

// recordedStep is one step of a core: its input and the formatted effects.
type recordedStep struct {
	now     time.Duration
	event   Event
	effects string
}

// testHost is a core that is connected to the other cores of a test.
type testHost struct {
	core *Core
	log  []recordedStep
	// pendingEvents are delivered in the next round.
	pendingEvents []Event
	// lastEffect is the last effect of the dispatch core; sentAttempts counts
	// the attempts sent to upstreams.
	lastEffect   dispatch.Effect
	sentAttempts int
}

// newTestHost returns a host that knows no other host.
func newTestHost(t *testing.T, name string, seed uint64) *testHost {
	t.Helper()
	c, err := New(testConfig(name, seed))
	if err != nil {
		t.Fatal(err)
	}
	return &testHost{core: c}
}

// hostPair holds two hosts, h1 and h2. Only h1 can read the object API.
type hostPair struct {
	hosts    map[string]*testHost
	manifest []byte
	parts    []configuration.Part
}

// step delivers one event, records it and carries out the effects.
func (p *hostPair) step(now time.Duration, name string, ev Event) {
	h := p.hosts[name]
	effects := h.core.Step(now, ev)
	h.log = append(h.log, recordedStep{now: now, event: ev, effects: fmt.Sprintf("%T%+v", effects, effects)})
	for _, f := range effects {
		p.apply(h, name, f)
	}
}

// apply carries out an effect: it delivers messages to the other host and
// answers what the configuration tracker asks for.
func (p *hostPair) apply(h *testHost, name string, effect Effect) {
	switch f := effect.(type) {
	case SendMessage:
		for receiverName, receiver := range p.hosts {
			if f.To == receiverName+":1" {
				receiver.pendingEvents = append(receiver.pendingEvents, MessageReceived{From: name + ":1", Message: f.Message})
			}
		}
	case ConfigurationEffect:
		if event := p.answerFetch(name, f.Effect); event != nil {
			h.pendingEvents = append(h.pendingEvents, ConfigurationEvent{Event: event})
		}
	case DispatchEffect:
		h.lastEffect = f.Effect
		if _, sent := f.Effect.(dispatch.Send); sent {
			h.sentAttempts++
		}
	}
}

// answerFetch answers a read of the object API; it fails for h2.
func (p *hostPair) answerFetch(name string, effect configuration.Effect) configuration.Event {
	f, ok := effect.(configuration.FetchFromStore)
	if !ok {
		return nil
	}
	if name != "h1" {
		return configuration.StoreFetchResult{ID: f.ID, Outcome: configuration.OutcomeFailed}
	}
	result := configuration.StoreFetchResult{ID: f.ID}
	if f.Manifest {
		result.Manifest = p.manifest
	}
	for _, wantedHash := range f.Parts {
		for _, part := range p.parts {
			if part.Hash == wantedHash {
				result.Parts = append(result.Parts, part)
			}
		}
	}
	return result
}

// run delivers the pending events and a tick to both hosts every 10 ms.
func (p *hostPair) run(from, to time.Duration) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, name := range []string{"h1", "h2"} {
			h := p.hosts[name]
			pending := h.pendingEvents
			h.pendingEvents = nil
			for _, ev := range pending {
				p.step(now, name, ev)
			}
			p.step(now, name, Tick{})
		}
	}
}

// newHostPair returns two hosts and a configuration with one model in the
// object API.
func newHostPair(t *testing.T) *hostPair {
	t.Helper()
	cfg := intent.Configuration{
		DataCentres:   []intent.DataCentre{{Name: "a", Region: "r"}},
		Models:        []intent.Model{{Name: "m", Version: "1", MaxPromptTokens: 1000, Placements: []intent.Placement{{DataCentre: "a"}}}},
		Kinds:         []intent.Kind{{Name: "k", Weight: 1, DefaultLimitMillis: 1000, MaxLimitMillis: 1000}},
		Organisations: []intent.Organisation{{Name: "o", Share: 1}},
	}
	parts, err := configuration.Split(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p := &hostPair{hosts: make(map[string]*testHost), parts: parts, manifest: encodeManifest(t, parts)}
	p.hosts["h1"] = newTestHost(t, "h1", 1)
	p.hosts["h2"] = newTestHost(t, "h2", 2)
	return p
}

// platformHosts returns the platform's list: both hosts and one engine.
func platformHosts() []platform.Host {
	return []platform.Host{
		{Name: "h1", Address: "h1:1", DataCentre: "a", Role: "entry"},
		{Name: "h2", Address: "h2:1", DataCentre: "a", Role: "entry"},
		{Name: "e1", Address: "e1:1", DataCentre: "a", Role: "engine"},
	}
}

// TestHostWithoutObjectAPILearnsConfigurationAndLeavingEngineFromPeer checks
// that a host that cannot read the object API gets the configuration from
// another host. It must also send no work to an engine 3 s after another host
// has learned that the engine is leaving.
func TestHostWithoutObjectAPILearnsConfigurationAndLeavingEngineFromPeer(t *testing.T) {
	p := newHostPair(t)
	for _, name := range []string{"h1", "h2"} {
		p.step(0, name, HostsListed{Hosts: platformHosts()})
	}
	p.run(0, 20*time.Second)
	for name, h := range p.hosts {
		if h.core.ConfigVersion() != 1 || !h.core.Ready() {
			t.Errorf("%s: version %d, ready %v", name, h.core.ConfigVersion(), h.core.Ready())
		}
	}
	report := dispatch.LoadReported{Name: "e1", RequestedAt: 20 * time.Second, MemoryTotal: 400_000, Models: []string{"m@1"}}
	p.step(20*time.Second, "h2", DispatchEvent{Event: report})
	report.Leaving = true
	p.step(20*time.Second, "h1", DispatchEvent{Event: report})
	p.run(20*time.Second, 23*time.Second)
	arrived := dispatch.Arrived{ID: "x", Model: "m@1", PromptTokens: 100, MaxTokens: 10, Deadline: time.Minute}
	p.step(23*time.Second, "h2", DispatchEvent{Event: arrived})
	if p.hosts["h2"].sentAttempts > 0 {
		t.Error("a leaving engine got work 3 s after another host learned that it leaves")
	}
}

// TestHostStartedDuringOutageGetsUpstreamListFromPeer checks that a host that
// starts during an outage of the platform is not ready before another host has
// sent it the list of upstreams, and that it then serves with that list.
func TestHostStartedDuringOutageGetsUpstreamListFromPeer(t *testing.T) {
	p := newHostPair(t)
	p.step(0, "h1", HostsListed{Hosts: platformHosts()})
	if p.hosts["h2"].core.Ready() {
		t.Error("h2 is ready although it knows no upstreams and no configuration")
	}
	p.run(0, 20*time.Second)
	if !p.hosts["h2"].core.Ready() {
		t.Fatal("h2 is not ready although h1 has the upstreams and the configuration")
	}
	report := dispatch.LoadReported{Name: "e1", RequestedAt: 20 * time.Second, MemoryTotal: 400_000, Models: []string{"m@1"}}
	p.step(20*time.Second, "h2", DispatchEvent{Event: report})
	arrived := dispatch.Arrived{ID: "x", Model: "m@1", PromptTokens: 100, MaxTokens: 10, Deadline: time.Minute}
	p.step(20*time.Second, "h2", DispatchEvent{Event: arrived})
	if p.hosts["h2"].sentAttempts != 1 {
		t.Error("the engine in the list from h1 got no work")
	}
}

// TestEachHostProbesFewRemoteUpstreams checks that a host probes two engines of
// another data centre, and that not all hosts choose the same two.
func TestEachHostProbesFewRemoteUpstreams(t *testing.T) {
	var list []platform.Host
	for i := range 40 {
		list = append(list, platform.Host{Name: fmt.Sprintf("far-%d", i), DataCentre: "b", Role: "engine"})
	}
	list = append(list, platform.Host{Name: "near", DataCentre: "a", Role: "engine"})
	probed := make(map[string]bool)
	for i := range 10 {
		h := newTestHost(t, fmt.Sprintf("h%d", i), 1)
		for _, f := range h.core.Step(0, HostsListed{Hosts: list}) {
			probe, ok := f.(ProbeUpstreams)
			if !ok {
				continue
			}
			if len(probe.Targets) != 1+remoteTargetsPerKind {
				t.Fatalf("host %d probes %+v", i, probe.Targets)
			}
			for _, target := range probe.Targets {
				probed[target.Name] = true
			}
		}
	}
	if len(probed) < 8 {
		t.Errorf("ten hosts together probe only %d upstreams", len(probed))
	}
}

// TestReplayedEventsGiveSameEffects checks that the core is deterministic: a
// fresh core that gets the recorded events of a host must return the same
// effects, byte for byte.
func TestReplayedEventsGiveSameEffects(t *testing.T) {
	p := newHostPair(t)
	for _, name := range []string{"h1", "h2"} {
		p.step(0, name, HostsListed{Hosts: platformHosts()})
	}
	p.run(0, 10*time.Second)
	for name, h := range p.hosts {
		fresh := newTestHost(t, name, map[string]uint64{"h1": 1, "h2": 2}[name])
		for i, r := range h.log {
			effects := fresh.core.Step(r.now, r.event)
			if got := fmt.Sprintf("%T%+v", effects, effects); got != r.effects {
				t.Fatalf("%s, event %d (%T):\n%s\n%s", name, i, r.event, r.effects, got)
			}
		}
	}
}

// encodeManifest returns the encoded manifest of version 1 with the given
// parts.
func encodeManifest(t *testing.T, parts []configuration.Part) []byte {
	t.Helper()
	hashes := make([]string, len(parts))
	for i, part := range parts {
		hashes[i] = part.Hash
	}
	body, err := configuration.Manifest{}.Next("test", "first", "nonce", hashes).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return body
}
