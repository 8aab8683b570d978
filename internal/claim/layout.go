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

// layoutObject is the name of the object that holds the Layout of all hosts.
const layoutObject = "claims/layout"

// layoutReader reads the stored layout and caches it; the layout never changes
// once it is written.
type layoutReader struct {
	stored      atomic.Pointer[Layout]
	sharedReads singleflight.Group
}

// cached returns the stored layout and reports whether it was read already.
func (r *layoutReader) cached() (Layout, bool) {
	if l := r.stored.Load(); l != nil {
		return *l, true
	}
	return Layout{}, false
}

// get returns the stored layout. Concurrent calls share one read of the store.
func (r *layoutReader) get(ctx context.Context, c *Claimer) (Layout, error) {
	if l, ok := r.cached(); ok {
		return l, nil
	}
	read := r.sharedReads.DoChan(layoutObject, func() (any, error) { return r.fetch(c.ctx, c) })
	select {
	case result := <-read:
		l, _ := result.Val.(Layout)
		return l, result.Err
	case <-ctx.Done():
		return Layout{}, errors.Wrap(ctx.Err(), "read the layout of claims")
	}
}

// fetch reads the stored layout; if there is none it stores the configured one
// first.
func (r *layoutReader) fetch(ctx context.Context, c *Claimer) (Layout, error) {
	l, err := readLayout(ctx, c.store)
	if errors.Is(err, platform.ErrNotFound) {
		value, encodeErr := json.Marshal(c.config.Layout)
		if encodeErr != nil {
			return Layout{}, errors.Wrap(encodeErr, "encode the layout of claims")
		}
		// The error is ignored: another host may have stored its layout first,
		// or the answer may be lost. The read that follows returns the layout
		// that the store has.
		_, _ = c.store.Put(ctx, layoutObject, value, 0)
		l, err = readLayout(ctx, c.store)
	}
	if err != nil {
		c.logStoreResult(err, layoutObject)
		return Layout{}, err
	}
	if r.stored.Swap(&l) == nil && l != c.config.Layout {
		logevent.ClaimsLayoutDiffers.Emit(c.logger, log.Fields{"stored": l, "configured": c.config.Layout})
	}
	return l, nil
}

// readLayout reads, decodes and checks the stored layout.
func readLayout(ctx context.Context, store platform.Store) (Layout, error) {
	object, err := store.Get(ctx, layoutObject)
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
