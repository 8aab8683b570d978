package router

import (
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// CountMembersByState returns the number of other known hosts in each state. A
// state without hosts has no entry.
func (c *Core) CountMembersByState() map[wire.State]int {
	counts := make(map[wire.State]int)
	for _, m := range c.members.Members() {
		counts[m.State]++
	}
	return counts
}

// OwnWork returns the work that this host has in flight on each engine.
func (c *Core) OwnWork() []dispatch.PeerWork {
	return c.dispatch.OwnWork()
}
