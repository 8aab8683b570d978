package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// updateReserveShare is the share of the burst that updates must leave
	// unused, for the heartbeats that follow.
	updateReserveShare = 0.25
	// tableTrafficDivisor gives the traffic limit of member tables, which is the
	// limit of heartbeats divided by it and applies in addition to that limit.
	// tableBurstFactor gives their burst, which is that of heartbeats times the
	// factor and is used when many members have changed.
	tableTrafficDivisor = 4
	tableBurstFactor    = 4
)

// tokenBucket limits traffic: the number of available bytes grows with time up
// to the burst, and sending reduces it. It may become negative, since messages
// that must be sent are sent anyway.
type tokenBucket struct {
	// available is the number of bytes that may be sent now.
	available float64
	// burst is the maximum of available, in bytes.
	burst float64
	// perSecond is the number of bytes added in a second; 0 means that there is
	// no limit.
	perSecond float64
}

// newTokenBucket returns a full bucket.
func newTokenBucket(perSecond, burst int) tokenBucket {
	return tokenBucket{available: float64(burst), burst: float64(burst), perSecond: float64(perSecond)}
}

// refill adds the bytes for a time that has passed.
func (b *tokenBucket) refill(d time.Duration) {
	b.available = min(b.available+d.Seconds()*b.perSecond, b.burst)
}

// hasBudget reports whether more bytes than the reserve are available. A
// negative reserve allows the bucket to be overdrawn by as much.
func (b *tokenBucket) hasBudget(reserve float64) bool {
	return b.perSecond == 0 || b.available > reserve
}

// send emits a message and charges its size to the budget for its type.
func (c *Core) send(to string, m wire.Message) {
	size := float64(wire.Size(m) + c.cfg.OverheadBytes)
	if _, heartbeat := m.(wire.Heartbeat); heartbeat {
		c.heartbeatBudget.available -= size
	} else {
		c.tableBudget.available -= size
	}
	c.emit(Send{To: to, Message: m})
}
