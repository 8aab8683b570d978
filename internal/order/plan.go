package order

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// verifiedFor is how long a report proves that an engine serves a model when
// another engine is to give it up, as a multiple of ActiveEvery.
const verifiedFor = 2

// placed is a wanted model with the engines that are to hold it.
type placed struct {
	Model
	engines []*state
	// ready is how many of them serve it.
	ready int
}

// plan orders what is missing and takes away what is no longer wanted. It
// waits until every engine was asked, since one that was not may hold a model.
func (c *Core) plan(now time.Duration) {
	if !c.desired.Managed || !c.surveyed() {
		return
	}
	all := c.place()
	c.noteAbsent(all)
	for _, s := range c.engines {
		if c.mayOrder(s) && s.barrierDone() {
			if unload := c.unwanted(now, s, all); len(unload) > 0 {
				c.send(now, s, nil, unload)
			}
		}
	}
	if now >= c.loadsFrom {
		c.load(now, all)
	}
}

// surveyed says whether every engine has reported in this term or is dead.
func (c *Core) surveyed() bool {
	for _, s := range c.engines {
		if !s.known && !s.Leaving && !c.dead(s) {
			return false
		}
	}
	return true
}

// place chooses the engines of each wanted model.
func (c *Core) place() []placed {
	var usable []*state
	for _, s := range c.engines {
		if c.usable(s) {
			usable = append(usable, s)
		}
	}
	duties := make(map[string]int, len(usable))
	all := make([]placed, 0, len(c.desired.Models))
	for _, m := range c.desired.Models {
		p := placed{Model: m, engines: choose(m, usable, duties)}
		for _, s := range p.engines {
			duties[s.Name]++
			if s.steady() && s.ready(m) {
				p.ready++
			}
		}
		all = append(all, p)
	}
	return all
}

// choose prefers engines that hold the model, then those that hold another
// version of it, then those with fewer duties.
func choose(m Model, usable []*state, duties map[string]int) []*state {
	if m.MinEngines == 0 || m.MinEngines >= len(usable) {
		return usable
	}
	type ranked struct {
		s    *state
		rank int
		hash uint64
	}
	list := make([]ranked, len(usable))
	for i, s := range usable {
		list[i] = ranked{s: s, rank: rank(m, s), hash: xxhash.Sum64String(m.Name + " " + s.Name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.rank != b.rank:
			return a.rank - b.rank
		case duties[a.s.Name] != duties[b.s.Name]:
			return duties[a.s.Name] - duties[b.s.Name]
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	chosen := make([]*state, m.MinEngines)
	for i := range chosen {
		chosen[i] = list[i].s
	}
	return chosen
}

func rank(m Model, s *state) int {
	switch {
	case s.ready(m):
		return 0
	case s.has(m.base()):
		return 1
	case s.loads(m.base()):
		return 2
	case s.hasOther(m):
		return 3
	}
	return 4
}

// unwanted lists what the engine may give up now. What still loads may be
// served by the time that the order arrives.
func (c *Core) unwanted(now time.Duration, s *state, all []placed) []string {
	var list []string
	for _, held := range slices.Concat(s.status.Loading, s.status.Models) {
		switch c.declared(held) {
		case foreign:
			list = append(list, held)
		case otherVersion:
			if c.replaced(now, held, s, all) {
				list = append(list, held)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// kinship relates a held name to the wishes.
type kinship uint8

const (
	foreign kinship = iota
	otherVersion
	wanted
)

func (c *Core) declared(held string) kinship {
	name, version, adapter := split(held)
	m, ok := c.desired.find(name)
	switch {
	case !ok:
		return foreign
	case version != m.Version:
		return otherVersion
	case adapter != "" && !slices.Contains(m.Adapters, adapter):
		return foreign
	}
	return wanted
}

// replaced says whether an older version may go: the engine itself serves the
// wanted one, or it has no duty for the model and all engines that have serve it.
func (c *Core) replaced(now time.Duration, held string, s *state, all []placed) bool {
	name, _, _ := split(held)
	i := slices.IndexFunc(all, func(p placed) bool { return p.Name == name })
	if i < 0 {
		return false
	}
	p := all[i]
	if s.ready(p.Model) {
		return true
	}
	return p.ready > 0 && p.ready == len(p.engines) && c.verified(now, p)
}

// verified says whether an engine was lately seen to serve a model, and has
// one asked otherwise.
func (c *Core) verified(now time.Duration, p placed) bool {
	for _, s := range p.engines {
		if now-s.statusAt <= verifiedFor*c.cfg.ActiveEvery {
			return true
		}
	}
	p.engines[0].due = min(p.engines[0].due, now)
	return false
}

// noteAbsent tells which wanted models no engine serves in any version.
func (c *Core) noteAbsent(all []placed) {
	var absent []string
	for _, p := range all {
		serves := func(s *state) bool { return c.usable(s) && (s.has(p.base()) || s.hasOther(p.Model)) }
		if !slices.ContainsFunc(c.engines, serves) {
			absent = append(absent, p.Name)
		}
	}
	for _, name := range absent {
		if !slices.Contains(c.absent, name) {
			c.emit(ModelAvailabilityChanged{Model: name, Absent: true})
		}
	}
	for _, name := range c.absent {
		if !slices.Contains(absent, name) {
			c.emit(ModelAvailabilityChanged{Model: name})
		}
	}
	c.absent = absent
}
