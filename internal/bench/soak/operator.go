package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// changeEvery is the mean time between two configurations; some come in quick
// succession.
const (
	changeEvery = 2500 * time.Millisecond
	stormChance = 0.2
	stormPause  = 150 * time.Millisecond
)

// operate submits configurations until the context ends. Each version brings a
// key, and drops the one of the version before the last.
func (w *world) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.config.Seed, 1))
	for ctx.Err() == nil {
		w.declare()
		if random.Float64() < stormChance {
			sleep(ctx, stormPause)
			continue
		}
		sleep(ctx, time.Duration((0.5+random.Float64())*float64(changeEvery)))
	}
}

// declare submits the next version.
func (w *world) declare() {
	number := w.newest() + 1
	keys := []string{steadyKey, rotatingKey(number)}
	if number > 1 {
		keys = append(keys, rotatingKey(number-1))
	}
	at := w.now()
	w.store.PutConfiguration(number, keys...)
	acknowledged := w.now()
	w.note(func(h *History) {
		h.Versions = append(h.Versions, Version{Number: number, At: at, Acknowledged: acknowledged, Keys: keys})
	})
}

// newest is the number of the last version submitted.
func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.history.Versions) == 0 {
		return 0
	}
	return w.history.Versions[len(w.history.Versions)-1].Number
}
