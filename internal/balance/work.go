package balance

import (
	"slices"
	"time"
)

// workIndex finds the servers that a request uses, by the request's host, which is empty
// for this host, and its number. What a report costs thus grows with the work that it
// names, and not with the number of servers.
type workIndex map[string]map[uint64][]*upstream

// find returns the servers that hold work of a request.
func (x workIndex) find(key requestKey) []*upstream { return x[key.host][key.requestNumber] }

// put replaces the servers of a request.
func (x workIndex) put(key requestKey, upstreams []*upstream) {
	if len(upstreams) == 0 {
		delete(x[key.host], key.requestNumber)
		if len(x[key.host]) == 0 {
			delete(x, key.host)
		}
		return
	}
	if x[key.host] == nil {
		x[key.host] = make(map[uint64][]*upstream)
	}
	x[key.host][key.requestNumber] = upstreams
}

// addWork enters a part of a request's work in the ledger of a server.
func (c *Core) addWork(u *upstream, w *workItem, now time.Duration) {
	u.add(w, now)
	c.work.put(w.key, append(c.work.find(w.key), u))
}

// removeWork removes the work of a request from one server.
func (c *Core) removeWork(u *upstream, key requestKey, now time.Duration) {
	u.remove(key, now)
	kept := slices.DeleteFunc(slices.Clone(c.work.find(key)), func(other *upstream) bool { return other == u })
	c.work.put(key, kept)
}

// dropWork removes the work of a request from all ledgers.
func (c *Core) dropWork(key requestKey, now time.Duration) {
	for _, u := range c.work.find(key) {
		u.remove(key, now)
	}
	c.work.put(key, nil)
}

// recordDecoding ends the prefill of a prompt on all its members. Helpers that
// hold no memory have no more to do with the request.
func (c *Core) recordDecoding(key requestKey, now time.Duration) {
	for _, u := range c.work.find(key) {
		w := u.find(key)
		if w == nil {
			continue
		}
		u.completePrefill(w, now)
		if !w.isLeader && w.memoryTokens == 0 {
			c.removeWork(u, key, now)
		}
	}
}

// removeExpiredWork removes work of other hosts whose end was never reported.
func (c *Core) removeExpiredWork(now time.Duration) {
	for _, u := range c.upstreams {
		for i := 0; i < len(u.items); {
			if w := u.items[i]; w.key.host != "" && now > w.expires {
				c.removeWork(u, w.key, now)
				continue
			}
			i++
		}
	}
}

// forgetWorkOfReplaced removes the work of servers that are no longer registered, or
// that another run has replaced, from the index.
func (c *Core) forgetWorkOfReplaced(next map[string]*upstream) {
	for id, u := range c.upstreams {
		if next[id] == u {
			continue
		}
		for _, w := range u.items {
			kept := slices.DeleteFunc(slices.Clone(c.work.find(w.key)), func(other *upstream) bool { return other == u })
			c.work.put(w.key, kept)
		}
	}
}
