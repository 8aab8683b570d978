package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/quarantine"
)

func newTable(t *testing.T, config quarantine.Config) *quarantine.Table {
	t.Helper()
	table, err := quarantine.New(config, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// crashSeveral records crashes of different servers, each of which host h1 saw, at
// regular intervals from a time on. It returns the verdicts.
func crashSeveral(table *quarantine.Table, count int, start, interval time.Duration, parts ...string) []quarantine.Verdict {
	var all []quarantine.Verdict
	for i := range count {
		at := start + time.Duration(i)*interval
		_, verdicts, _ := table.RecordCrash(quarantine.Crash{Server: fmt.Sprintf("i-%d/%v", i, start), Host: "h1", Begun: true, Parts: parts}, at)
		all = append(all, verdicts...)
	}
	return all
}

func matches(table *quarantine.Table, now time.Duration, parts ...string) bool {
	return len(table.Match(parts, now)) > 0
}

func TestPartIsQuarantinedAfterCrashesOfDifferentServers(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	for _, at := range []time.Duration{0, time.Second, 2 * time.Second} {
		table.RecordCrash(quarantine.Crash{Server: "i-1/1", Host: "h1", Parts: []string{"bad"}}, at)
	}
	g.Expect(matches(table, 3*time.Second, "bad")).To(BeFalse(), "one server")
	g.Expect(crashSeveral(table, 1, 3*time.Second, 0, "bad")).To(BeEmpty())
	verdicts := crashSeveral(table, 1, 4*time.Second, 0, "bad")
	g.Expect(verdicts).To(HaveLen(1))
	g.Expect(verdicts[0].Servers).To(HaveLen(3))
	g.Expect(verdicts[0].Hosts).To(ConsistOf("h1", "h1", "h1"))
	g.Expect(matches(table, 5*time.Second, "other", "bad")).To(BeTrue())
	g.Expect(matches(table, 5*time.Second, "other")).To(BeFalse())
}

func TestServersThatCrashTogetherQuarantineNothing(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	g.Expect(crashSeveral(table, 10, time.Second, 10*time.Millisecond, "new")).To(BeEmpty())
}

func TestPartsOfSoundAnswersAreNotBlamed(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	table.RecordSound([]string{"shared"}, time.Second)
	g.Expect(crashSeveral(table, 5, 2*time.Second, time.Second, "shared")).To(BeEmpty())
	g.Expect(crashSeveral(table, 5, time.Minute, time.Second, "shared")).To(HaveLen(1), "the answer is too long ago")
}

// TestPromptsThatOnlyWaitedAreNoSuspects guards against sound prompts that are blamed
// for the crashes of servers at which they waited beside a bad one.
func TestPromptsThatOnlyWaitedAreNoSuspects(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	for i := range 5 {
		at, server := time.Duration(i)*time.Second, fmt.Sprint("i-", i)
		table.RecordCrash(quarantine.Crash{Server: server, Host: "h1", Begun: true, Parts: []string{"bad"}}, at)
		table.RecordCrash(quarantine.Crash{Server: server, Host: "h2", Parts: []string{"rare"}}, at)
	}
	g.Expect(matches(table, 5*time.Second, "bad")).To(BeTrue())
	g.Expect(matches(table, 5*time.Second, "rare")).To(BeFalse())
	var verdicts []quarantine.Verdict
	for i := range 3 {
		_, more, _ := table.RecordCrash(quarantine.Crash{Server: fmt.Sprint("i-1", i), Host: "h1", Parts: []string{"early"}}, time.Duration(10+i)*time.Second)
		verdicts = append(verdicts, more...)
	}
	g.Expect(verdicts).To(HaveLen(1), "servers that crash before any answer begins")
}

// TestPartsThatComeTogetherAreToldApartByOneOfThem guards against a quarantine that
// takes along the sound parts of the prompts that crashed servers.
func TestPartsThatComeTogetherAreToldApartByOneOfThem(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	g.Expect(crashSeveral(table, 3, 0, time.Second, "key", "bad")).To(HaveLen(2))
	g.Expect(matches(table, 3*time.Second, "key", "bad")).To(BeTrue())
	g.Expect(matches(table, 3*time.Second, "key")).To(BeFalse())
	g.Expect(matches(table, 3*time.Second, "bad")).To(BeFalse())
	cleared, released := table.RecordSound([]string{"key"}, 4*time.Second)
	g.Expect(cleared).To(Equal([]string{"key"}))
	g.Expect(released).To(Equal([]string{"key"}))
	g.Expect(matches(table, 5*time.Second, "bad")).To(BeTrue())
	g.Expect(matches(table, 5*time.Second, "key")).To(BeFalse())
	g.Expect(table.Len()).To(Equal(1))
}

func TestTrialsBecomeRarerAndEndAWrongQuarantine(t *testing.T) {
	g := NewWithT(t)
	config := quarantine.DefaultConfig()
	table := newTable(t, config)
	crashSeveral(table, 3, 0, time.Second, "new")
	now := 2 * time.Second
	for _, hold := range []time.Duration{config.FirstHold, 4 * config.FirstHold, 16 * config.FirstHold, config.MaxHold, config.MaxHold} {
		now += hold
		_, early := table.BeginTrial("new", now-time.Millisecond)
		g.Expect(early).To(BeFalse())
		v, begun := table.BeginTrial("new", now)
		g.Expect(begun).To(BeTrue())
		g.Expect(v.HoldLeft).To(BeNumerically(">", 0))
	}
	table.RecordSound([]string{"new"}, now+time.Second)
	g.Expect(matches(table, now+2*time.Second, "new")).To(BeFalse())
	g.Expect(table.Len()).To(BeZero())
}

func TestVerdictsReachHostsThatSawNoCrash(t *testing.T) {
	g := NewWithT(t)
	config := quarantine.DefaultConfig()
	first, second := newTable(t, config), newTable(t, config)
	crashSeveral(first, 3, 0, time.Second, "bad")
	due := first.Due(4 * time.Second)
	g.Expect(due).To(HaveLen(1))
	g.Expect(second.Adopt(due[0], time.Minute)).To(BeTrue())
	g.Expect(matches(second, time.Minute, "bad")).To(BeTrue())
	_, begun := second.BeginTrial("bad", time.Minute+due[0].HoldLeft-time.Millisecond)
	g.Expect(begun).To(BeFalse(), "the hold is the same everywhere")
	g.Expect(second.Due(time.Minute+config.AnnounceInterval/3)).To(BeEmpty(), "it was announced a moment ago")
	third := newTable(t, config)
	third.RecordSound([]string{"bad"}, time.Second)
	g.Expect(third.Adopt(due[0], 2*time.Second)).To(BeFalse())
	g.Expect(third.Len()).To(BeZero())
}

func TestTableIsBoundedInSizeAndTime(t *testing.T) {
	g := NewWithT(t)
	config := quarantine.DefaultConfig()
	config.MaxParts = 20
	table := newTable(t, config)
	crashSeveral(table, 3, 0, time.Second, "bad")
	for i := range 100 {
		crashSeveral(table, 2, 3*time.Second, time.Second, fmt.Sprint("once-", i))
	}
	g.Expect(matches(table, 5*time.Second, "bad")).To(BeTrue(), "quarantines are kept")
	table.Due(5*time.Second + config.IdleMemory - time.Second)
	g.Expect(table.Len()).To(Equal(1))
	table.Due(5*time.Second + config.IdleMemory + time.Second)
	g.Expect(table.Len()).To(BeZero())
	g.Expect(matches(table, 20*time.Minute, "bad")).To(BeFalse())
}

func TestInvalidConfigurationIsRefused(t *testing.T) {
	_, err := quarantine.New(quarantine.Config{MinCrashes: 1}, rand.New(rand.NewPCG(1, 1)))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("MinCrashes: must be 2 or more")))
}

// TestRequestThatOnlySharedTheServersIsReleased guards against a sound request that stays
// quarantined since it was at servers which another one crashed.
func TestRequestThatOnlySharedTheServersIsReleased(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	bad, sound := quarantine.ContentName([]byte("bad")), quarantine.ContentName([]byte("sound"))
	var withdrawn []string
	for i := range 4 {
		at, server := time.Duration(i)*100*time.Millisecond, fmt.Sprint("i-", i)
		if i < 3 {
			table.RecordCrash(quarantine.Crash{Server: server, Host: "h1", Parts: []string{sound}}, at)
		}
		_, _, more := table.RecordCrash(quarantine.Crash{Server: server, Host: "h2", Parts: []string{bad}}, at)
		withdrawn = append(withdrawn, more...)
	}
	g.Expect(withdrawn).To(Equal([]string{sound}))
	g.Expect(matches(table, time.Second, bad)).To(BeTrue())
	g.Expect(matches(table, time.Second, sound)).To(BeFalse())
	crashSeveral(table, 1, time.Second, 0, sound)
	g.Expect(matches(table, 2*time.Second, sound)).To(BeTrue(), "it crashes a server by itself")
}

// TestRepeatedPromptDoesNotBlameTheSoundOnesThatShareItsParts guards against a verdict on
// a part of which only one request, sent again and again, crashes servers.
func TestRepeatedPromptDoesNotBlameTheSoundOnesThatShareItsParts(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	content := quarantine.ContentName([]byte("bad"))
	crashSeveral(table, 3, 0, time.Second, "session", content)
	g.Expect(matches(table, 3*time.Second, "session", content)).To(BeTrue())
	g.Expect(matches(table, 3*time.Second, "session", quarantine.ContentName([]byte("other")))).To(BeFalse())
}

// TestServersThatCrashAgainCountAsSeveralMoments guards against a service of few servers,
// all of which crash within a moment, again and again.
func TestServersThatCrashAgainCountAsSeveralMoments(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, quarantine.DefaultConfig())
	content := quarantine.ContentName([]byte("bad"))
	g.Expect(crashSeveral(table, 3, 0, 10*time.Millisecond, content)).To(BeEmpty())
	_, verdicts, _ := table.RecordCrash(quarantine.Crash{Server: "i-0/0s", Host: "h1", Parts: []string{content}}, 3*time.Second)
	g.Expect(verdicts).To(HaveLen(1))
}
