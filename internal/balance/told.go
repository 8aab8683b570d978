package balance

import "time"

// WorkReport is what one host tells the others of its work. Messages may be lost;
// a whole one, sent every wholeInterval, corrects what that left wrong.
type WorkReport struct {
	// Boot tells the runs of the host's process apart.
	Boot uint64
	// Full says that Started is all the host's work.
	Full bool
	Work []ReportedWork
	// Decoding are requests whose answer began.
	Decoding []uint64
	Ended    []ReportedEnd
}

// ReportedWork is one request's part of the load on one upstream. Times are
// relative, so that hosts need no common clock.
type ReportedWork struct {
	RequestNumber  uint64
	Upstream       string
	Leader         bool
	Decoding       bool
	PrefillTime    time.Duration
	MemoryTokens   int
	ContextTokens  int
	PromptTokens   int
	TargetLatency  time.Duration
	TargetPieceGap time.Duration
	// Age is the time since the request came in, Left that to its deadline.
	Age      time.Duration
	TimeLeft time.Duration
}

// ReportedEnd says how a request's attempt ended. Class is empty for an answer.
type ReportedEnd struct {
	RequestNumber uint64
	Upstream      string
	Class         FailureClass
}

// wholeInterval is how often a host tells all its work.
const wholeInterval = time.Second

// peer is what is known of another host.
type peer struct {
	boot  uint64
	heard time.Duration
}

func (c *Core) hear(host string, m WorkReport, now time.Duration) {
	p := c.peers[host]
	if p == nil {
		p = &peer{}
		c.peers[host] = p
	}
	p.heard = now
	if m.Full || m.Boot != p.boot {
		p.boot = m.Boot
		c.forgetHost(host, m.Work, now)
	}
	for _, t := range m.Work {
		c.hearStarted(host, t, now)
	}
	for _, number := range m.Decoding {
		c.noteWriting(taskKey{host, number}, now)
	}
	for _, e := range m.Ended {
		c.dropWork(taskKey{host, e.RequestNumber}, now)
		if u := c.upstreams[e.Upstream]; u != nil && e.Class != FailureCallerLeft {
			c.judge(u, e.Class, now)
		}
	}
}

// forgetHost drops the work of a host that is not among what it still has.
func (c *Core) forgetHost(host string, still []ReportedWork, now time.Duration) {
	kept := make(map[uint64]bool, len(still))
	for _, t := range still {
		kept[t.RequestNumber] = true
	}
	for _, u := range c.upstreams {
		for i := 0; i < len(u.works); {
			key := u.works[i].key
			if key.host == host && !kept[key.number] {
				u.remove(key, now)
				continue
			}
			i++
		}
	}
}

func (c *Core) hearStarted(host string, t ReportedWork, now time.Duration) {
	u := c.upstreams[t.Upstream]
	if u == nil {
		return
	}
	key := taskKey{host, t.RequestNumber}
	if known := u.find(key); known != nil {
		known.told = now
		if t.Decoding {
			u.endRead(known, now)
		}
		return
	}
	if t.Leader && !t.Decoding {
		c.group(u.Service).started(now)
	}
	w := &work{
		key: key, leads: t.Leader, read: t.PrefillTime, memory: t.MemoryTokens, context: t.ContextTokens,
		weight: weight(t.PromptTokens), target: t.TargetLatency, gap: t.TargetPieceGap,
		arrived: now - t.Age, expires: now + t.TimeLeft + expirySlack, told: now,
	}
	if t.Decoding {
		w.read = 0
	}
	u.add(w, now)
	if t.Decoding {
		u.endRead(w, now)
	}
}

// tellStart queues the news of own work.
func (c *Core) tellStart(u *upstream, w *work, r *request, now time.Duration) {
	c.news.Work = append(c.news.Work, toldWork(u, w, r.PromptTokens, now))
}

func toldWork(u *upstream, w *work, prompt int, now time.Duration) ReportedWork {
	return ReportedWork{
		RequestNumber: w.key.number, Upstream: u.ID, Leader: w.leads, Decoding: w.writing,
		PrefillTime: w.read, MemoryTokens: w.memory, ContextTokens: w.context, PromptTokens: prompt,
		TargetLatency: w.target, TargetPieceGap: w.gap, Age: now - w.arrived, TimeLeft: w.expires - now,
	}
}

// flushNews hands out what is to be told: all own work when that is due, else
// what is new. Work that started is told at once, since others may be placing
// there; the rest waits for a tick.
func (c *Core) flushNews(now time.Duration, tick bool) {
	if c.others == 0 {
		c.news = WorkReport{}
		return
	}
	if now-c.toldWhole >= wholeInterval {
		c.toldWhole = now
		c.news.Full = true
		c.news.Work = c.ownWork(now)
		c.news.Decoding = nil
	}
	if !c.news.Full && len(c.news.Work) == 0 && (!tick || len(c.news.Decoding)+len(c.news.Ended) == 0) {
		return
	}
	c.news.Boot = c.boot
	c.emit(BroadcastReport{Report: c.news})
	c.news = WorkReport{}
}

// ownWork lists all work of this host.
func (c *Core) ownWork(now time.Duration) []ReportedWork {
	var all []ReportedWork
	for _, r := range c.requests {
		for _, u := range r.members {
			if w := u.find(r.key()); w != nil {
				all = append(all, toldWork(u, w, r.PromptTokens, now))
			}
		}
	}
	return all
}
