package claim

import (
	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// observe logs what a store call's error says about the store. An outage is
// logged at its start and its end only.
func (c *Claimer) observe(err error, object string) {
	fields := log.Fields{"object": object}
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrConflict):
		if c.storeDown.Swap(false) {
			logevent.StoreAvailable.Emit(c.logger, fields)
		}
	case errors.Is(err, platform.ErrUnavailable):
		if !c.storeDown.Swap(true) {
			logevent.StoreUnavailable.Emit(c.logger, fields)
		}
	case errors.Is(err, platform.ErrThrottled):
		logevent.StoreThrottles.Emit(c.logger, fields)
	default:
		logevent.StoreAnswerLost.Emit(c.logger, fields)
	}
}

// note logs decisions that an operator should know of.
func (c *Claimer) note(d Decision, object string) {
	fields := log.Fields{"object": object}
	switch d {
	case shard.Full:
		logevent.ClaimsObjectFull.Emit(c.logger, fields)
	case shard.Unreadable:
		logevent.ClaimsObjectUnreadable.Emit(c.logger, fields)
	}
}
