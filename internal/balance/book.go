package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// taskKey names a request among all hosts. Host is empty for this host's own.
type taskKey struct {
	host   string
	number uint64
}

// work is one request's part of the load on one upstream.
type work struct {
	key taskKey
	// leads says that the upstream answers the request; the others read a part
	// of its prompt, and hold memory if memory is set.
	leads bool
	// read is the reading time here, readEnd when it is expected to be done.
	read    time.Duration
	readEnd time.Duration
	writing bool
	// memory is the KV memory in tokens, context what each step attends to.
	memory  int
	context int
	weight  float64
	// target and gap are the request's objectives, arrived its start.
	target  time.Duration
	gap     time.Duration
	arrived time.Duration
	// expires is when the work counts as ended even if nothing says so.
	expires time.Duration
	// told is when a peer's message last named it; 0 for own work.
	told time.Duration
}

// book is the work on one upstream.
type book struct {
	works []*work
	// readDone is when all reading known is expected to be done.
	readDone time.Duration
}

func (b *book) find(key taskKey) *work {
	for _, w := range b.works {
		if w.key == key {
			return w
		}
	}
	return nil
}

// add enters work. A helper's part is read ahead of the other prompts.
func (b *book) add(w *work, now time.Duration) {
	if w.leads {
		w.readEnd = max(b.readDone, now) + w.read
		b.readDone = w.readEnd
		b.works = append(b.works, w)
		return
	}
	for _, other := range b.works {
		if !other.writing && other.readEnd > now {
			other.readEnd += w.read
		}
	}
	w.readEnd = now + w.read
	b.readDone = max(b.readDone, now) + w.read
	b.works = append(b.works, w)
}

// endRead notes that a prompt has been read, and moves up what was behind it.
func (b *book) endRead(w *work, now time.Duration) {
	if w.writing {
		return
	}
	left := min(w.read, w.readEnd-now)
	w.writing = true
	if left <= 0 {
		return
	}
	for _, other := range b.works {
		if !other.writing && other.readEnd > w.readEnd {
			other.readEnd -= left
		}
	}
	b.readDone -= left
}

// remove takes a request's work out and says whether there was any.
func (b *book) remove(key taskKey, now time.Duration) bool {
	for i, w := range b.works {
		if w.key == key {
			b.endRead(w, now)
			b.works = append(b.works[:i], b.works[i+1:]...)
			return true
		}
	}
	return false
}

// expire removes work whose end was never told.
func (b *book) expire(now time.Duration) {
	for i := 0; i < len(b.works); {
		if w := b.works[i]; w.key.host != "" && now > w.expires {
			b.remove(w.key, now)
			continue
		}
		i++
	}
}

// backlog is the reading time ahead.
func (b *book) backlog(now time.Duration) time.Duration {
	return max(0, b.readDone-now)
}

// load sums up the book.
type load struct {
	// leading is the number of requests answered here, helping that of the
	// prompts of others partly read or held here.
	leading int
	helping int
	context int
	memory  int
}

func (b *book) load() load {
	var l load
	for _, w := range b.works {
		l.memory += w.memory
		if w.leads {
			l.leading++
			l.context += w.context
		} else {
			l.helping++
		}
	}
	return l
}

// pause predicts the longest pause of the streams written here, with more
// reading and one more writer's context added.
func (b *book) pause(e *route.Engine, now, moreRead time.Duration, moreWriters, moreContext int) time.Duration {
	l := b.load()
	return passTime(e, l.leading+moreWriters, l.context+moreContext) + b.backlog(now) + moreRead
}

// harm is what more reading here costs the requests already here, by their
// objectives. before is the pause predicted without it, after with it.
func (b *book) harm(now, before, after time.Duration) float64 {
	cost := 0.0
	more := after - before
	for _, w := range b.works {
		switch {
		case !w.leads:
			continue
		case w.writing:
			cost += w.weight * (lateness(after, w.gap) - lateness(before, w.gap))
		default:
			first := max(w.readEnd, now) - w.arrived
			cost += w.weight * (lateness(first+more, w.target) - lateness(first, w.target))
		}
	}
	return cost
}
