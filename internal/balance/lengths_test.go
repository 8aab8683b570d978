package balance

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// lengthPlay returns a play as long as the users' waves, on a fleet of half their size.
func lengthPlay(seed uint64) wavePlay {
	return wavePlay{hosts: 40, servers: 75, coordinated: true, seed: seed, load: 1, wave: 9500 * time.Millisecond}
}

// servedShares returns the share of a route's requests that were served: of all, of the
// longest tenth, and of the fifth below it.
func servedShares(results []result, route string) (all, longest, next float64) {
	ofRoute := slices.DeleteFunc(slices.Clone(results), func(r result) bool { return r.route != route })
	slices.SortFunc(ofRoute, func(a, b result) int { return cmp.Compare(b.promptTokens, a.promptTokens) })
	share := func(list []result) float64 {
		served := 0
		for _, r := range list {
			if r.delivered {
				served++
			}
		}
		return float64(served) / float64(max(1, len(list)))
	}
	tenth, fifth := len(ofRoute)/10, len(ofRoute)/5
	return share(ofRoute), share(ofRoute[:tenth]), share(ofRoute[tenth : tenth+fifth])
}

// TestLongestPromptsAreNotRefusedForTheirLength holds the users' comparison of lengths.
func TestLongestPromptsAreNotRefusedForTheirLength(t *testing.T) {
	t.Parallel()
	const minShareOfAll, seeds = 0.5, 4
	results := playAtOnce(seeds, func(seed uint64) *simulation { return lengthPlay(100 + seed).run() })
	all, longest, next := servedShares(results, archiveRoute.Name)
	t.Logf("served: all %.3f, longest tenth %.3f, fifth below %.3f", all, longest, next)
	if longest < minShareOfAll*all || next < minShareOfAll*all {
		t.Errorf("of the longest tenth %.3f were served and of the fifth below %.3f, of all %.3f", longest, next, all)
	}
}

// TestCoordinatorsDoNotFillTheSameServers guards against short prompts that find no slot
// while a quarter of all slots is free.
func TestCoordinatorsDoNotFillTheSameServers(t *testing.T) {
	t.Parallel()
	p := lengthPlay(100)
	p.servers, p.commentsOnly, p.load = 150, true, 1.25
	if got := p.run().inTimeShare(commentRoute.Name); got < 0.9 {
		t.Errorf("%.3f of the short prompts in time, want at least 0.9", got)
	} else {
		t.Logf("%.3f of the short prompts in time", got)
	}
}

// TestShortStreamsDoNotSpreadOverAllServers guards against long prompts that find a short
// stream on each server although a third of all slots is free.
func TestShortStreamsDoNotSpreadOverAllServers(t *testing.T) {
	t.Parallel()
	const minIdleShare = 0.5
	var idle, free float64
	p := lengthPlay(100)
	p.commentsOnly = true
	p.sample = func(sim *simulation) {
		for _, s := range sim.servers {
			leaders := leaderCount(s.running)
			free += float64(sim.engine.Slots-leaders) / float64(sim.engine.Slots)
			if leaders == 0 {
				idle++
			}
		}
	}
	p.run()
	t.Logf("servers without streams are %.3f of what the free slots would allow", idle/free)
	if idle/free < minIdleShare {
		t.Errorf("servers without streams are %.3f of what the free slots would allow, want at least %.3f", idle/free, minIdleShare)
	}
}
