package claim

import (
	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// logStoreResult logs the state of the store that the error of a store call
// shows. An outage is logged only when it starts and when it ends.
func (c *Claimer) logStoreResult(err error, object string) {
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

// logDecision logs the decisions that an operator should know about.
func (c *Claimer) logDecision(d Decision, object string) {
	fields := log.Fields{"object": object}
	switch d {
	case shard.Full:
		logevent.ClaimsObjectFull.Emit(c.logger, fields)
	case shard.Unreadable:
		logevent.ClaimsObjectUnreadable.Emit(c.logger, fields)
	}
}
