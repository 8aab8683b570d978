package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// manyHostsReportDelay is the time that a report takes between many hosts: two
// relays that collect reports, and the way between data centres.
const manyHostsReportDelay = 25 * time.Millisecond

// setReportDelay changes how long reports between hosts take.
func (sim *simulation) setReportDelay(delay time.Duration) {
	sim.reportDelay = delay
	for i := range sim.cores {
		sim.step(i, PeersChanged{OtherHosts: len(sim.cores) - 1, ReportDelay: delay})
	}
}

// simulateShortPrompts has many hosts place short prompts, which occupy three
// quarters of all slots.
func simulateShortPrompts(policy Policy, seed uint64) *simulation {
	sim := newSimulation(policy, 60, 24, seed)
	sim.setReportDelay(manyHostsReportDelay)
	random := rand.New(rand.NewPCG(seed, 3))
	const length = 6 * time.Second
	sim.generateTraffic(random, shortRoute, 130, 4960, 0.9, 1300, length)
	sim.runUntil(length + 12*time.Second)
	return sim
}

// TestManyHostsFindFreeSlots simulates hosts that decide before they know of
// each other's choices. Nine in ten short prompts must be in time while a
// quarter of the slots is free.
func TestManyHostsFindFreeSlots(t *testing.T) {
	t.Parallel()
	var predictive, plain simulation
	for seed := range uint64(2) {
		predictive.results = append(predictive.results, simulateShortPrompts(PolicyPredict, seed).results...)
		plain.results = append(plain.results, simulateShortPrompts(PolicyPlain, seed).results...)
	}
	t.Logf("short %.3f (plain %.3f)", predictive.inTimeShare("short"), plain.inTimeShare("short"))
	if got := predictive.inTimeShare("short"); got < 0.9 {
		t.Errorf("%.3f of the short prompts in time, want at least 0.9", got)
	}
}

// TestManyHostsSpreadPrefillOfLongPrompts has long prompts arrive at many
// hosts. It guards against hosts that pile up prefill on servers to which
// others have just sent theirs. The prefill of all prompts takes about two
// thirds of the servers' time.
func TestManyHostsSpreadPrefillOfLongPrompts(t *testing.T) {
	var predictive, plain simulation
	for seed := range uint64(2) {
		predictive.results = append(predictive.results, simulateLongPrompts(PolicyPredict, seed).results...)
		plain.results = append(plain.results, simulateLongPrompts(PolicyPlain, seed).results...)
	}
	t.Logf("short %.3f (plain %.3f), long %.3f (plain %.3f)", predictive.inTimeShare("short"), plain.inTimeShare("short"), predictive.inTimeShare("book"), plain.inTimeShare("book"))
	if predictive.inTimeShare("short") < 0.95 || predictive.inTimeShare("book") < plain.inTimeShare("book")+0.1 {
		t.Error("short prompts are late, or long ones do not do clearly better than with the plain policy")
	}
}

// simulateLongPrompts has many hosts place short and long prompts.
func simulateLongPrompts(policy Policy, seed uint64) *simulation {
	sim := newSimulation(policy, 30, 24, seed)
	sim.setReportDelay(manyHostsReportDelay)
	random := rand.New(rand.NewPCG(seed, 4))
	const length = 6 * time.Second
	sim.generateTraffic(random, shortRoute, 40, 4960, 0.9, 1300, length)
	sim.generateTraffic(random, longPromptRoute, 2.0, 190000, 0.55, 650, length)
	sim.runUntil(length + 16*time.Second)
	return sim
}
