package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/backpressure"
)

const (
	// writePieceBytes is the most that is written to a caller at once. A caller makes
	// progress when it has taken one such piece.
	writePieceBytes = 16 << 10
	// readAheadPiece is the most that is read at once ahead of a caller.
	readAheadPiece = 4 << 10
)

// answerFlow carries one answer from its server to its caller. It reads the answer from
// the server while a write to the caller blocks, and interrupts a write on which the caller
// takes nothing. One goroutine calls Read and write in turn.
type answerFlow struct {
	source     io.Reader
	w          http.ResponseWriter
	controller *http.ResponseController
	limits     backpressure.Limits
	memory     *heldMemory

	mu      sync.Mutex
	changed sync.Cond
	timer   *time.Timer
	// writeBegan is when the present write began; zero between writes.
	writeBegan time.Time
	// readsAhead is true once a goroutine of its own reads the source. pieces is what it has
	// read and Read has not returned, held its size, charged the most that was ever held,
	// and sourceErr the error with which the source ended.
	readsAhead    bool
	pieces        [][]byte
	held, charged int64
	sourceErr     error
	// unread is the longest time for which the source was left unread since the caller
	// took too little, lastBlocked the duration of the last write.
	unread, lastBlocked time.Duration
	// onYield is called when what is held for the caller begins or ends to give way to
	// others, with yields; it must not block.
	onYield func(yields bool)
	yields  bool
	// stalled is true once a write was interrupted since the caller took nothing.
	stalled, ended bool
}

// newAnswerFlow returns a flow. The caller ends it.
func newAnswerFlow(source io.Reader, w http.ResponseWriter, limits backpressure.Limits, memory *heldMemory) *answerFlow {
	f := &answerFlow{source: source, w: w, controller: http.NewResponseController(w), limits: limits, memory: memory}
	f.changed.L = &f.mu
	return f
}

// end stops what the flow has begun. The reading of the source ends when that is closed.
func (f *answerFlow) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	if f.timer != nil {
		f.timer.Stop()
	}
	f.changed.Broadcast()
	if !f.readsAhead {
		f.memory.release()
	}
}

// write writes a part of the answer to the caller, in pieces.
func (f *answerFlow) write(p []byte, flush bool) error {
	for len(p) > 0 {
		piece := p[:min(len(p), writePieceBytes)]
		p = p[len(piece):]
		f.beginWrite()
		_, err := f.w.Write(piece)
		if err == nil && flush && len(p) == 0 {
			err = f.controller.Flush()
		}
		f.endWrite()
		if err != nil {
			return err
		}
	}
	return nil
}

// beginWrite begins to watch a write.
func (f *answerFlow) beginWrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeBegan = time.Now()
	if f.timer == nil {
		f.timer = time.AfterFunc(f.limits.Patience, f.checkWrite)
		return
	}
	f.timer.Reset(f.limits.Patience)
}

// endWrite ends the watch of a write.
func (f *answerFlow) endWrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastBlocked = time.Since(f.writeBegan)
	if !f.readsAhead && f.sourceErr == nil {
		f.unread = max(f.unread, f.lastBlocked)
	}
	f.writeBegan = time.Time{}
	f.timer.Stop()
	f.setYields(false)
}

// checkWrite decides about a write that blocks.
func (f *answerFlow) checkWrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeBegan.IsZero() || f.ended {
		return
	}
	blocked := time.Since(f.writeBegan)
	answer := backpressure.Answer{Blocked: blocked, Held: f.held, Room: true}
	f.setYields(f.limits.Yields(answer))
	switch f.limits.Decide(answer) {
	case backpressure.BreakOff:
		f.stalled = true
		f.interruptWrite()
		return
	case backpressure.TakeOff:
		if !f.readsAhead && f.sourceErr == nil {
			f.readsAhead = true
			f.unread = max(f.unread, blocked)
			go f.readAhead()
		}
	case backpressure.Follow:
	}
	f.timer.Reset(f.limits.NextCheck(blocked))
}

// setYields says whether what is held for the caller gives way to others. The caller holds
// mu.
func (f *answerFlow) setYields(yields bool) {
	if f.onYield != nil && yields != f.yields {
		f.yields = yields
		f.onYield(yields)
	}
}

// interrupt ends a write that blocks.
func (f *answerFlow) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ended {
		f.interruptWrite()
	}
}

// interruptWrite makes the present write and all later ones fail. The caller holds mu.
func (f *answerFlow) interruptWrite() {
	// A connection without deadlines has failed already.
	_ = f.controller.SetWriteDeadline(time.Unix(1, 0))
}

// Read implements io.Reader for the answer.
func (f *answerFlow) Read(p []byte) (int, error) {
	f.mu.Lock()
	if !f.readsAhead {
		f.mu.Unlock()
		return f.readSource(p)
	}
	defer f.mu.Unlock()
	for f.held == 0 && f.sourceErr == nil {
		f.changed.Wait()
	}
	if f.held == 0 {
		return 0, f.sourceErr
	}
	n := copy(p, f.pieces[0])
	if f.pieces[0] = f.pieces[0][n:]; len(f.pieces[0]) == 0 {
		f.pieces = f.pieces[1:]
	}
	f.held -= int64(n)
	f.changed.Broadcast()
	return n, nil
}

// readSource reads the source and records its end.
func (f *answerFlow) readSource(p []byte) (int, error) {
	n, err := f.source.Read(p)
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sourceErr = err
	}
	return n, err
}

// readAhead reads the source to its end, as far ahead of the caller as the limits allow.
func (f *answerFlow) readAhead() {
	defer f.memory.release()
	piece := make([]byte, readAheadPiece)
	for f.awaitRoom() {
		n, err := f.source.Read(piece)
		f.mu.Lock()
		if n > 0 {
			f.pieces = append(f.pieces, bytes.Clone(piece[:n]))
			f.held += int64(n)
		}
		f.sourceErr = err
		f.changed.Broadcast()
		f.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until another piece may be held. It returns false when the flow has ended.
func (f *answerFlow) awaitRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	began := time.Now()
	for !f.ended && !f.hasRoom() {
		f.changed.Wait()
	}
	f.unread = max(f.unread, time.Since(began))
	return !f.ended
}

// hasRoom reports whether another piece may be held. The caller holds mu.
func (f *answerFlow) hasRoom() bool {
	// A caller that has taken all is followed, however little memory there is.
	needed := f.held + readAheadPiece
	room := f.held == 0 || needed <= f.charged || f.memory.grow(needed-f.charged) == nil
	if room {
		f.charged = max(f.charged, needed)
	}
	return f.limits.Decide(backpressure.Answer{Blocked: f.limits.Patience, Held: f.held, Room: room}) == backpressure.TakeOff
}

// judge returns what the end of the answer at its server means.
func (f *answerFlow) judge(broken, framed bool) backpressure.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Judge(backpressure.End{Unread: f.unread, Broken: broken, Framed: framed})
}

// isWriting reports whether a write to the caller is under way.
func (f *answerFlow) isWriting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.writeBegan.IsZero()
}

// lastWriteBlocked reports whether the last write took as long as none to a caller that
// reads.
func (f *answerFlow) lastWriteBlocked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastBlocked >= f.limits.Patience
}

// hasStalled reports whether the caller has taken nothing for too long.
func (f *answerFlow) hasStalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stalled
}

// limitLastWrite bounds how long the caller may take for the end of an answer, which the
// HTTP server writes.
func limitLastWrite(w http.ResponseWriter, limit time.Duration) {
	// A connection without deadlines has failed already.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
}
