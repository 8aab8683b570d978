package router

import (
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// CountMembersByState counts the other hosts known, by what is believed of them.
func (c *Core) CountMembersByState() map[wire.State]int {
	counts := make(map[wire.State]int)
	for _, m := range c.members.Members() {
		counts[m.State]++
	}
	return counts
}

// OwnWork returns what this host has in flight on each engine.
func (c *Core) OwnWork() []dispatch.PeerWork {
	return c.dispatch.OwnWork()
}
