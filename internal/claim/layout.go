package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// layoutKey is the object that holds the Layout of all hosts.
const layoutKey = "claims/layout"

// layoutReader knows the stored layout, which never changes once written.
type layoutReader struct {
	stored atomic.Pointer[Layout]
	flight singleflight.Group
}

func (r *layoutReader) known() (Layout, bool) {
	if l := r.stored.Load(); l != nil {
		return *l, true
	}
	return Layout{}, false
}

// get returns the stored layout, which is read once for all who wait for it.
func (r *layoutReader) get(ctx context.Context, c *Claimer) (Layout, error) {
	if l, ok := r.known(); ok {
		return l, nil
	}
	flight := r.flight.DoChan(layoutKey, func() (any, error) { return r.fetch(c.ctx, c) })
	select {
	case result := <-flight:
		l, _ := result.Val.(Layout)
		return l, result.Err
	case <-ctx.Done():
		return Layout{}, errors.Wrap(ctx.Err(), "read the layout of claims")
	}
}

// fetch reads the stored layout, or stores the configured one if there is none.
func (r *layoutReader) fetch(ctx context.Context, c *Claimer) (Layout, error) {
	l, err := readLayout(ctx, c.store)
	if errors.Is(err, platform.ErrNotFound) {
		value, encodeErr := json.Marshal(c.config.Layout)
		if encodeErr != nil {
			return Layout{}, errors.Wrap(encodeErr, "encode the layout of claims")
		}
		// Whoever wins, and whatever became of the answer, the store has the truth.
		_, _ = c.store.Put(ctx, layoutKey, value, 0)
		l, err = readLayout(ctx, c.store)
	}
	if err != nil {
		c.observe(err, layoutKey)
		return Layout{}, err
	}
	if r.stored.Swap(&l) == nil && l != c.config.Layout {
		logevent.ClaimsLayoutDiffers.Emit(c.logger, log.Fields{"stored": l, "configured": c.config.Layout})
	}
	return l, nil
}

func readLayout(ctx context.Context, store platform.Store) (Layout, error) {
	object, err := store.Get(ctx, layoutKey)
	if err != nil {
		return Layout{}, errors.Wrap(err, "read the layout of claims")
	}
	var l Layout
	if err := json.Unmarshal(object.Value, &l); err != nil {
		return Layout{}, errors.Wrap(err, "decode the layout of claims")
	}
	if l.Shards <= 0 || l.WindowSeconds <= 0 || l.Slots <= 1 {
		return Layout{}, errors.Errorf("the stored layout of claims is invalid: %+v", l)
	}
	return l, nil
}
