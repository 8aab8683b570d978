// Package ledger decides how many bytes a host may hold for callers and servers, who holds
// them, and who gives way when there is not enough. It answers callers that nobody controls:
// heads of thousands of lines, bodies that stop short of their end, connections on which
// nothing comes, hundreds at a time. The decisions are pure; package memory carries them out.
package ledger

// Class says what an entry holds memory for.
type Class int

// Classes of entries.
const (
	// Connection entries hold a connection of a caller or another host, with the head that
	// is being read on it.
	Connection Class = iota
	// Request entries hold a request whose head was read, with its body.
	Request
	// Answer entries hold what a caller has not read yet.
	Answer
	// Message entries hold messages between hosts, and requests of operators.
	Message
	// ClassCount is the number of classes.
	ClassCount
)

// String returns the name of the class in metrics and logs.
func (c Class) String() string {
	return [ClassCount]string{"connection", "request", "answer", "message"}[c]
}

// sharePercent is how much of the limit the entries of a class may hold together, so that
// no class takes the room of all others.
var sharePercent = [ClassCount]int64{Connection: 50, Request: 75, Answer: 50, Message: 25}

const (
	// smallBytes is the size up to which an entry is not subject to the share of its class:
	// the requests of ordinary callers come through while large ones fill theirs.
	smallBytes = 128 << 10
	// leavingPart is the part of the limit, and of the connections, that those which were
	// told to give way may still hold while others take their place.
	leavingPart = 4
)

// stage is whether, and in which turn, an entry can be made to give way.
type stage int

const (
	// kept entries don't give way: what they hold was read whole.
	kept stage = iota
	// unfinished entries are still being read.
	unfinished
	// idle entries are connections on which nothing of a request has come.
	idle
	// stalled entries are answers of which the caller takes nothing.
	stalled
)

// Entry is what one holder holds.
type Entry struct {
	// Owner is for the use of the holder.
	Owner any

	class Class
	stage stage
	bytes int64
	// since orders the entries by the begin of their stage.
	since uint64
	// connection is the connection that ends with this entry when it gives way; it may be
	// the entry itself, or nil.
	connection *Entry
	// leaving is true once the entry was told to give way, released when it has ended.
	leaving, released bool
	// index is the entry's position in the ledger.
	index int
}

// Figures are the totals of a ledger.
type Figures struct {
	// Held is what is held, by class, Leaving the part of it that has been told to give way.
	Held    [ClassCount]int64
	Leaving int64
	// Refused and GaveWay count the entries that got no memory, and those that were told to
	// give way, from the start on.
	Refused, GaveWay [ClassCount]int64
	// Connections is the number of connections.
	Connections int
}

// Ledger holds all entries of a host.
type Ledger struct {
	limit          int64
	maxConnections int
	entries        []*Entry
	figures        Figures
	held           int64
	// yielding is what the entries that can be made to give way hold, by class.
	yielding [ClassCount]int64
	// leavingOf is the part of what a class holds that has been told to give way.
	leavingOf          [ClassCount]int64
	leavingConnections int
	lastSince          uint64
}

// New returns an empty ledger of a number of bytes and connections.
func New(limit int64, maxConnections int) *Ledger {
	return &Ledger{limit: limit, maxConnections: maxConnections}
}

// Figures returns the present totals.
func (l *Ledger) Figures() Figures { return l.figures }

// Open adds an entry without bytes. One that can't give way is kept from the beginning.
// The connection, or nil, is the one that ends when the entry gives way.
func (l *Ledger) Open(class Class, givesWay bool, connection *Entry) *Entry {
	e := &Entry{class: class, connection: connection, index: len(l.entries)}
	l.entries = append(l.entries, e)
	if givesWay {
		l.setStage(e, unfinished)
	}
	return e
}

// OpenConnection adds the entry of a new connection with the bytes that each takes, and
// returns who must give way for it. It returns nil if there is no room: then the
// connection must be closed.
func (l *Ledger) OpenConnection(bytes int64) (e *Entry, victims []*Entry) {
	var victim *Entry
	if l.figures.Connections-l.leavingConnections >= l.maxConnections {
		if victim = l.connectionVictim(); victim == nil {
			l.figures.Refused[Connection]++
			return nil, nil
		}
	}
	if l.figures.Connections >= l.maxConnections+max(1, l.maxConnections/leavingPart) {
		l.figures.Refused[Connection]++
		return nil, nil
	}
	if victim != nil {
		l.leave(victim)
		victims = append(victims, victim)
	}
	e = l.Open(Connection, false, nil)
	e.connection = e
	l.figures.Connections++
	l.setStage(e, idle)
	more, ok := l.Grow(e, bytes)
	victims = append(victims, more...)
	if !ok {
		l.Release(e)
		return nil, victims
	}
	return e, victims
}

// Grow adds bytes to an entry and returns who must give way for them. It returns false,
// and adds nothing, if the holder itself must give way.
func (l *Ledger) Grow(e *Entry, bytes int64) (victims []*Entry, ok bool) {
	if e.leaving || e.released {
		return nil, false
	}
	share := l.limit * sharePercent[e.class] / 100
	shared := e.bytes+bytes > smallBytes
	fits := func() bool {
		return l.held-l.figures.Leaving+bytes <= l.limit &&
			(!shared || l.figures.Held[e.class]-l.leavingOf[e.class]+bytes <= share)
	}
	if l.held+bytes > l.limit+l.limit/leavingPart || !l.canFit(e, bytes, shared, share) {
		l.refuse(e)
		return nil, false
	}
	for !fits() {
		within := l.held-l.figures.Leaving+bytes <= l.limit
		victim := l.victim(e, bytes, within)
		if victim == nil || victim == e {
			l.refuse(e)
			return victims, false
		}
		l.leave(victim)
		victims = append(victims, victim)
	}
	l.add(e, bytes)
	return victims, true
}

// canFit reports whether bytes would fit if all that can give way did.
func (l *Ledger) canFit(e *Entry, bytes int64, shared bool, share int64) bool {
	yielding := int64(0)
	for _, n := range l.yielding {
		yielding += n
	}
	return l.held-l.figures.Leaving-yielding+bytes <= l.limit &&
		(!shared || l.figures.Held[e.class]-l.leavingOf[e.class]-l.yielding[e.class]+bytes <= share)
}

// refuse records that an entry got no memory. It gives way itself.
func (l *Ledger) refuse(e *Entry) {
	l.figures.Refused[e.class]++
	if e.stage != kept {
		l.leave(e)
		l.figures.GaveWay[e.class]--
	}
}

// Set changes the bytes of an entry to a number that is not above what it holds.
func (l *Ledger) Set(e *Entry, bytes int64) {
	if !e.released && bytes < e.bytes {
		l.add(e, bytes-e.bytes)
	}
}

// Complete says that an entry was read whole and no longer gives way. It returns false if
// it was told to before.
func (l *Ledger) Complete(e *Entry) bool {
	if e.leaving || e.released {
		return false
	}
	l.setStage(e, kept)
	return true
}

// Begin says that the holder of an entry has begun to read, Await that the holder of a
// connection waits for a request.
func (l *Ledger) Begin(e *Entry) { l.restage(e, unfinished) }

// Await is the counterpart of Begin.
func (l *Ledger) Await(e *Entry) { l.restage(e, idle) }

// Stall says that the caller of an answer takes nothing.
func (l *Ledger) Stall(e *Entry) { l.restage(e, stalled) }

// Move charges to one entry what another one holds.
func (l *Ledger) Move(from, to *Entry) {
	if from.released || to.released {
		return
	}
	bytes := from.bytes
	l.add(from, -bytes)
	l.add(to, bytes)
}

// restage begins a stage of an entry that was not told to give way.
func (l *Ledger) restage(e *Entry, s stage) {
	if !e.leaving && !e.released && e.stage != s {
		l.setStage(e, s)
	}
}

// Release ends an entry. Further calls change nothing.
func (l *Ledger) Release(e *Entry) {
	if e.released {
		return
	}
	if e.leaving {
		l.figures.Leaving -= e.bytes
		l.leavingOf[e.class] -= e.bytes
		if e.connection == e {
			l.leavingConnections--
		}
	} else {
		l.setStage(e, kept)
	}
	l.held -= e.bytes
	l.figures.Held[e.class] -= e.bytes
	if e.connection == e {
		l.figures.Connections--
	}
	e.bytes, e.released = 0, true
	last := l.entries[len(l.entries)-1]
	l.entries[e.index], last.index = last, e.index
	l.entries[len(l.entries)-1] = nil
	l.entries = l.entries[:len(l.entries)-1]
}

// add changes the bytes of an entry and of the totals.
func (l *Ledger) add(e *Entry, bytes int64) {
	e.bytes += bytes
	l.held += bytes
	l.figures.Held[e.class] += bytes
	switch {
	case e.leaving:
		l.figures.Leaving += bytes
		l.leavingOf[e.class] += bytes
	case e.stage != kept:
		l.yielding[e.class] += bytes
	}
}

// setStage begins a stage of an entry.
func (l *Ledger) setStage(e *Entry, s stage) {
	if e.stage != kept {
		l.yielding[e.class] -= e.bytes
	}
	e.stage = s
	if s != kept {
		l.yielding[e.class] += e.bytes
	}
	l.lastSince++
	e.since = l.lastSince
}

// leave records that an entry has been told to give way, and its connection with it.
func (l *Ledger) leave(e *Entry) {
	l.figures.GaveWay[e.class]++
	l.markLeaving(e)
	if c := e.connection; c != nil && c != e && !c.leaving && !c.released {
		l.markLeaving(c)
	}
}

// markLeaving counts an entry among those that are leaving.
func (l *Ledger) markLeaving(e *Entry) {
	if e.stage != kept {
		l.yielding[e.class] -= e.bytes
	}
	e.leaving, e.stage = true, kept
	l.figures.Leaving += e.bytes
	l.leavingOf[e.class] += e.bytes
	if e.connection == e {
		l.leavingConnections++
	}
}
