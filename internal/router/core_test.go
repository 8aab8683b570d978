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

func testConfig(name string, seed uint64) Config {
	d := dispatch.DefaultConfig()
	d.Host, d.Incarnation, d.DataCentre, d.Seed = name, 1, "a", seed
	m := membership.DefaultConfig()
	m.Seed = seed
	m.Self = membership.Host{Name: name, DataCentre: "a", Address: name + ":1", Incarnation: 1}
	return Config{
		Dispatch:       d,
		Membership:     m,
		Configuration:  configuration.DefaultConfig(name, "a", seed),
		MemberInterval: 100 * time.Millisecond,
	}
}

// recorded is one step of a core's log.
type recorded struct {
	now     time.Duration
	event   Event
	effects string
}

// node is a core in a small fake network.
type node struct {
	core *Core
	log  []recorded
	// inbox holds what arrives in the next round.
	inbox []Event
	last  dispatch.Effect
	sent  int
}

func newNode(t *testing.T, name string, seed uint64) *node {
	t.Helper()
	c, err := New(testConfig(name, seed))
	if err != nil {
		t.Fatal(err)
	}
	return &node{core: c}
}

// pair is two hosts, of which only the first reads the object API.
type pair struct {
	nodes    map[string]*node
	manifest []byte
	parts    []configuration.Part
}

func (p *pair) step(now time.Duration, name string, ev Event) {
	n := p.nodes[name]
	effects := n.core.Step(now, ev)
	n.log = append(n.log, recorded{now: now, event: ev, effects: fmt.Sprintf("%T%+v", effects, effects)})
	for _, f := range effects {
		p.apply(n, name, f)
	}
}

func (p *pair) apply(n *node, name string, effect Effect) {
	switch f := effect.(type) {
	case SendPeer:
		for other, to := range p.nodes {
			if f.To == other+":1" {
				to.inbox = append(to.inbox, PeerReceived{From: name + ":1", Message: f.Message})
			}
		}
	case Configure:
		if event := p.answer(name, f.Effect); event != nil {
			n.inbox = append(n.inbox, Configured{Event: event})
		}
	case Work:
		n.last = f.Effect
		if _, sent := f.Effect.(dispatch.Send); sent {
			n.sent++
		}
	}
}

// answer plays the object API, which the second host can't reach.
func (p *pair) answer(name string, effect configuration.Effect) configuration.Event {
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
	for _, wanted := range f.Parts {
		for _, part := range p.parts {
			if part.Hash == wanted {
				result.Parts = append(result.Parts, part)
			}
		}
	}
	return result
}

func (p *pair) run(from, to time.Duration) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, name := range []string{"h1", "h2"} {
			n := p.nodes[name]
			arrived := n.inbox
			n.inbox = nil
			for _, ev := range arrived {
				p.step(now, name, ev)
			}
			p.step(now, name, Tick{})
		}
	}
}

func newPair(t *testing.T) *pair {
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
	p := &pair{nodes: make(map[string]*node), parts: parts, manifest: manifestOf(t, parts)}
	p.nodes["h1"] = newNode(t, "h1", 1)
	p.nodes["h2"] = newNode(t, "h2", 2)
	return p
}

func hosts() []platform.Host {
	return []platform.Host{
		{Name: "h1", Address: "h1:1", DataCentre: "a", Role: "entry"},
		{Name: "h2", Address: "h2:1", DataCentre: "a", Role: "entry"},
		{Name: "e1", Address: "e1:1", DataCentre: "a", Role: "engine"},
	}
}

// TestHostsServeByWhatTheyTellEachOther: a host that can't read the object API
// takes the configuration from its peer, and learns of a leaving engine from it.
func TestHostsServeByWhatTheyTellEachOther(t *testing.T) {
	p := newPair(t)
	for _, name := range []string{"h1", "h2"} {
		p.step(0, name, HostsListed{Hosts: hosts()})
	}
	p.run(0, 20*time.Second)
	for name, n := range p.nodes {
		if n.core.ConfigVersion() != 1 || !n.core.Ready() {
			t.Errorf("%s: version %d, ready %v", name, n.core.ConfigVersion(), n.core.Ready())
		}
	}
	report := dispatch.LoadReported{Name: "e1", RequestedAt: 20 * time.Second, MemoryTotal: 400_000, Models: []string{"m@1"}}
	p.step(20*time.Second, "h2", Dispatched{Event: report})
	report.Leaving = true
	p.step(20*time.Second, "h1", Dispatched{Event: report})
	p.run(20*time.Second, 23*time.Second)
	arrived := dispatch.Arrived{ID: "x", Model: "m@1", PromptTokens: 100, MaxTokens: 10, Deadline: time.Minute}
	p.step(23*time.Second, "h2", Dispatched{Event: arrived})
	if p.nodes["h2"].sent > 0 {
		t.Error("a leaving engine got work 3 s after another host saw the sign")
	}
}

// TestHostWithoutThePlatformServesByItsPeersList: a host that starts in an
// outage is not ready before a peer has given it the list of upstreams.
func TestHostWithoutThePlatformServesByItsPeersList(t *testing.T) {
	p := newPair(t)
	p.step(0, "h1", HostsListed{Hosts: hosts()})
	if p.nodes["h2"].core.Ready() {
		t.Error("ready with nothing known")
	}
	p.run(0, 20*time.Second)
	if !p.nodes["h2"].core.Ready() {
		t.Fatal("not ready although a peer knows everything")
	}
	report := dispatch.LoadReported{Name: "e1", RequestedAt: 20 * time.Second, MemoryTotal: 400_000, Models: []string{"m@1"}}
	p.step(20*time.Second, "h2", Dispatched{Event: report})
	arrived := dispatch.Arrived{ID: "x", Model: "m@1", PromptTokens: 100, MaxTokens: 10, Deadline: time.Minute}
	p.step(20*time.Second, "h2", Dispatched{Event: arrived})
	if p.nodes["h2"].sent != 1 {
		t.Error("the peer's engine got no work")
	}
}

// TestFarUpstreamsAreWatchedByFew: of another data centre's engines a host
// watches two, and different hosts not all the same ones.
func TestFarUpstreamsAreWatchedByFew(t *testing.T) {
	var list []platform.Host
	for i := range 40 {
		list = append(list, platform.Host{Name: fmt.Sprintf("far-%d", i), DataCentre: "b", Role: "engine"})
	}
	list = append(list, platform.Host{Name: "near", DataCentre: "a", Role: "engine"})
	watched := make(map[string]bool)
	for i := range 10 {
		n := newNode(t, fmt.Sprintf("h%d", i), 1)
		for _, f := range n.core.Step(0, HostsListed{Hosts: list}) {
			probe, ok := f.(Probe)
			if !ok {
				continue
			}
			if len(probe.Targets) != 1+farTargets {
				t.Fatalf("host %d watches %+v", i, probe.Targets)
			}
			for _, target := range probe.Targets {
				watched[target.Name] = true
			}
		}
	}
	if len(watched) < 8 {
		t.Errorf("ten hosts watch only %d upstreams together", len(watched))
	}
}

// TestRecordedLogReplays feeds a host's recorded events to a fresh core and
// compares the effects byte for byte.
func TestRecordedLogReplays(t *testing.T) {
	p := newPair(t)
	for _, name := range []string{"h1", "h2"} {
		p.step(0, name, HostsListed{Hosts: hosts()})
	}
	p.run(0, 10*time.Second)
	for name, n := range p.nodes {
		fresh := newNode(t, name, map[string]uint64{"h1": 1, "h2": 2}[name])
		for i, r := range n.log {
			effects := fresh.core.Step(r.now, r.event)
			if got := fmt.Sprintf("%T%+v", effects, effects); got != r.effects {
				t.Fatalf("%s, event %d (%T):\n%s\n%s", name, i, r.event, r.effects, got)
			}
		}
	}
}

func manifestOf(t *testing.T, parts []configuration.Part) []byte {
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
