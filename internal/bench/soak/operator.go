package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// meanChangeInterval is the mean time between two configurations. With
// burstProbability, the next one follows after burstInterval instead.
const (
	meanChangeInterval = 2500 * time.Millisecond
	burstProbability   = 0.2
	burstInterval      = 150 * time.Millisecond
)

// submitConfigurations submits configurations until ctx ends. Each version adds a
// key and removes the one that was added two versions before.
func (hs *harness) submitConfigurations(ctx context.Context) {
	random := rand.New(rand.NewPCG(hs.config.Seed, 1))
	for ctx.Err() == nil {
		hs.submitNextVersion()
		if random.Float64() < burstProbability {
			sleep(ctx, burstInterval)
			continue
		}
		sleep(ctx, time.Duration((0.5+random.Float64())*float64(meanChangeInterval)))
	}
}

// submitNextVersion submits the next version of the configuration and records it.
func (hs *harness) submitNextVersion() {
	number := hs.newestVersion() + 1
	keys := []string{permanentKey, rotatingKey(number)}
	if number > 1 {
		keys = append(keys, rotatingKey(number-1))
	}
	at := hs.elapsed()
	hs.store.PutConfiguration(number, keys...)
	acknowledged := hs.elapsed()
	hs.updateHistory(func(h *History) {
		h.Versions = append(h.Versions, Version{Number: number, At: at, Acknowledged: acknowledged, Keys: keys})
	})
}

// newestVersion returns the number of the version submitted last, or 0.
func (hs *harness) newestVersion() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if len(hs.history.Versions) == 0 {
		return 0
	}
	return hs.history.Versions[len(hs.history.Versions)-1].Number
}
