package membership

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// TestMain sets a fixed seed for rapid unless the command line gives one, so
// that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "20"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testConfig() Config {
	cfg := DefaultConfig()
	cfg.Self = Host{Name: "self", DataCentre: "dc-0", Address: "127.0.0.1:1", Incarnation: 100}
	return cfg
}

func newCore(t interface{ Fatal(...any) }) *Core {
	c, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// drawEntry draws an entry that some host's member table might hold, about one
// of six hosts in two data centres or, in about one of ten cases, about this
// host.
func drawEntry(t *rapid.T) wire.Member {
	i := rapid.IntRange(0, 5).Draw(t, "host")
	m := wire.Member{
		Host:        fmt.Sprintf("host-%d", i),
		DataCentre:  fmt.Sprintf("dc-%d", i%2),
		Address:     fmt.Sprintf("127.0.0.2:%d", i+1),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Refutation:  rapid.Uint32Range(0, 2).Draw(t, "refutation"),
		State:       wire.State(rapid.IntRange(0, int(wire.Dead)).Draw(t, "state")),
	}
	if rapid.IntRange(0, 9).Draw(t, "about self") == 0 {
		m.Host, m.DataCentre, m.Address = "self", "dc-0", "127.0.0.1:1"
		m.Incarnation += 98
	}
	return m
}

// TestMergeResultDoesNotDependOnOrder merges the same entries in two orders and
// checks that the members and the table hashes are the same.
func TestMergeResultDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "accounts")
		shuffled := rapid.Permutation(entries).Draw(t, "shuffled")
		first, second := newCore(t), newCore(t)
		for i := range 6 {
			known := wire.Member{Host: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Address: fmt.Sprintf("127.0.0.2:%d", i+1)}
			first.merge(known)
			second.merge(known)
		}
		for i := range entries {
			first.merge(entries[i])
			second.merge(shuffled[i])
		}
		if a, b := first.Members(), second.Members(); !reflect.DeepEqual(a, b) {
			t.Fatalf("the members depend on the order:\n%v\n%v", a, b)
		}
		if a, b := first.tableHash()^memberHash(first.self), second.tableHash()^memberHash(second.self); a != b {
			t.Fatalf("the table hashes depend on the order: %x and %x", a, b)
		}
	})
}

// drawMessage draws a heartbeat, a sync request or a sync reply with arbitrary
// contents, as a correct or a faulty host might send it.
func drawMessage(t *rapid.T) wire.Message {
	members := rapid.SliceOfN(rapid.Custom(drawEntry), 0, 5).Draw(t, "members")
	sender := drawEntry(t)
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return wire.Heartbeat{
			Host: sender.Host, Incarnation: sender.Incarnation, Refutation: sender.Refutation, State: sender.State,
			Probe: rapid.Bool().Draw(t, "probe"), TableHash: rapid.Uint32().Draw(t, "hash"), Members: members,
			ConfigVersion: rapid.Uint64Range(0, 9).Draw(t, "version"),
			Contacts:      []wire.Contact{{DataCentre: sender.DataCentre, AgeMillis: rapid.Uint32().Draw(t, "age")}},
		}
	case 1:
		return wire.SyncRequest{Host: sender.Host, Sections: []wire.SectionSummary{{DataCentre: sender.DataCentre, Hash: rapid.Uint32().Draw(t, "hash")}}}
	default:
		return wire.SyncReply{Host: sender.Host, Members: members}
	}
}

// TestInvariantsHoldForArbitraryMessages passes generated messages to a core
// and checks what must hold whatever other hosts send: every message of the
// core can be encoded, this host is never reported as a member, and neither the
// configuration version nor the incarnation goes back.
func TestInvariantsHoldForArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(t)
		var now time.Duration
		var version, incarnation uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond
			effects := c.Tick(now)
			effects = append(effects, c.Step(now, MessageReceived{From: "127.0.0.2:1", Message: drawMessage(t)})...)
			for _, e := range effects {
				checkEffect(t, e)
			}
			if c.ConfigVersion() < version || c.Self().Incarnation < incarnation {
				t.Fatalf("went back to configuration version %d, incarnation %d", c.ConfigVersion(), c.Self().Incarnation)
			}
			version, incarnation = c.ConfigVersion(), c.Self().Incarnation
		}
	})
}

func checkEffect(t *rapid.T, e Effect) {
	switch e := e.(type) {
	case Send:
		if _, err := wire.AppendFrame(nil, e.Message); err != nil {
			t.Fatalf("the core sent a message that cannot be encoded: %v", err)
		}
	case MemberChanged:
		if e.Host == "self" {
			t.Fatalf("the core reports its own host as a member: %+v", e)
		}
	}
}

// TestReplayedMessagesGiveSameEffects passes the same calls to two cores and
// checks that their effects are the same.
func TestReplayedMessagesGiveSameEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.Custom(drawMessage), 1, 30).Draw(t, "messages")
		if a, b := replayMessages(t, messages), replayMessages(t, messages); !reflect.DeepEqual(a, b) {
			t.Fatalf("the effects of two equal runs differ:\n%v\n%v", a, b)
		}
	})
}

func replayMessages(t *rapid.T, messages []wire.Message) []Effect {
	c := newCore(t)
	var effects []Effect
	c.Step(0, LoadsChanged{Loads: []wire.UpstreamLoad{{Upstream: "a", Requests: 1}, {Upstream: "b", Requests: 2}}})
	for i, m := range messages {
		now := time.Duration(i) * 700 * time.Millisecond
		effects = append(effects, c.Step(now, MessageReceived{From: "127.0.0.2:1", Message: m})...)
		effects = append(effects, c.Tick(now)...)
	}
	return effects
}

// TestPauseResetsSilenceWhenMessagePrecedesTick lets a host receive a message
// after a pause before its next tick. The message must not hide the pause from
// the tick: a suspect must still get the whole time to refute its death.
func TestPauseResetsSilenceWhenMessagePrecedesTick(t *testing.T) {
	c := newCore(t)
	suspect := wire.Member{Host: "host-2", DataCentre: "dc-0", Address: "127.0.0.2:3", Incarnation: 1, State: wire.Suspect}
	c.Tick(time.Second)
	c.merge(suspect)
	wakeAt := 30 * time.Second
	c.Step(wakeAt, MessageReceived{From: "127.0.0.2:1", Message: wire.SyncReply{Host: "host-9"}})
	c.Tick(wakeAt + time.Millisecond)
	if got := c.members["host-2"].State; got != wire.Suspect {
		t.Errorf("after the pause: got state %s, want still suspect", got)
	}
	for at := wakeAt; at < wakeAt+2*c.cfg.SuspicionTimeout; at += 100 * time.Millisecond {
		c.Tick(at)
	}
	if got := c.members["host-2"].State; got != wire.Dead {
		t.Errorf("after SuspicionTimeout: got state %s, want dead", got)
	}
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	findings := Config{}.Validate()
	if len(findings) < 15 {
		t.Errorf("got %d findings, want at least one for each field that must not be zero: %v", len(findings), findings)
	}
	if _, err := New(Config{}); err == nil {
		t.Error("New accepted a zero configuration")
	}
	if err := testConfig().Validate().Err(); err != nil {
		t.Errorf("the default configuration is rejected: %v", err)
	}
}

// newPopulatedCore returns a core that knows 30 hosts in each of the data
// centres and has work on 331 upstreams. It also returns these members.
func newPopulatedCore(b *testing.B, dataCentres int) (*Core, []wire.Member) {
	c := newCore(b)
	var members []wire.Member
	for i := range 30 * dataCentres {
		m := wire.Member{
			Host: fmt.Sprintf("host-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
			Address: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1), Incarnation: 7,
		}
		members = append(members, m)
		c.merge(m)
	}
	loads := make([]wire.UpstreamLoad, 331)
	for i := range loads {
		loads[i] = wire.UpstreamLoad{Upstream: fmt.Sprintf("engine-%03d", i), Requests: 1, PrefillTokens: i}
	}
	c.Step(0, LoadsChanged{Loads: loads})
	return c, members
}

// BenchmarkHeartbeat measures the cost of receiving one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, dataCentres := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("hosts=%d", 30*dataCentres), func(b *testing.B) {
			c, members := newPopulatedCore(b, dataCentres)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := members[i%len(members)]
				c.Step(time.Duration(i)*time.Millisecond, MessageReceived{From: m.Address, Message: wire.Heartbeat{Host: m.Host, Incarnation: 7, TableHash: c.tableHash()}})
			}
		})
	}
}

// BenchmarkTick measures the cost of one tick and the messages it sends, with
// ticks 100 ms apart.
func BenchmarkTick(b *testing.B) {
	for _, dataCentres := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("hosts=%d", 30*dataCentres), func(b *testing.B) {
			c, members := newPopulatedCore(b, dataCentres)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 100 * time.Millisecond
				for _, m := range members {
					c.members[m.Host].lastReceivedAt = now
				}
				c.Tick(now)
			}
		})
	}
}
