package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// newsReserve is the share of the burst that news leaves for heartbeats
	// that follow.
	newsReserve = 0.25
	// tableShare divides the traffic limit to give what member tables may cost
	// beside it, and tableBursts times the burst is what they may cost at once
	// when much has changed.
	tableShare  = 4
	tableBursts = 4
)

// bucket is a traffic limit: an allowance that grows with time up to a burst.
// It may go below zero, since what must be sent is sent.
type bucket struct {
	bytes float64
	burst float64
	// perSecond 0 means that there is no limit.
	perSecond float64
}

func newBucket(perSecond, burst int) bucket {
	return bucket{bytes: float64(burst), burst: float64(burst), perSecond: float64(perSecond)}
}

func (b *bucket) earn(d time.Duration) {
	b.bytes = min(b.bytes+d.Seconds()*b.perSecond, b.burst)
}

// affords tells whether more than the reserve is left.
func (b *bucket) affords(reserve float64) bool {
	return b.perSecond == 0 || b.bytes > reserve
}

// send emits a message and pays for it.
func (c *Core) send(to string, m wire.Message) {
	size := float64(wire.Size(m) + c.cfg.OverheadBytes)
	if _, heartbeat := m.(wire.Heartbeat); heartbeat {
		c.traffic.bytes -= size
	} else {
		c.tableTraffic.bytes -= size
	}
	c.emit(Send{To: to, Message: m})
}
