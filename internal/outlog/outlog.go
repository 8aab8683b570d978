// Package outlog carries log lines to a writer without ever blocking who logs:
// lines beyond a rate or a full buffer are dropped and counted.
package outlog

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burstLines bound the volume. A host of the largest
	// size planned takes about 100 requests a second with three lines each.
	linesPerSecond = 400
	burstLines     = 1200
	// bufferLines bounds what waits for a slow reader.
	bufferLines = 1024
	// flushInterval is how long a line may wait in the process.
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 16 << 10
)

// Writer takes whole lines. Its methods may be called from any goroutine.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a Writer that writes to w until Close.
func New(w io.Writer) *Writer {
	o := &Writer{
		lines: make(chan []byte, bufferLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
		done:  make(chan struct{}),
	}
	go o.run(w)
	return o
}

// Write queues one line. It always reports success: a line that finds no room
// is counted by Dropped.
func (o *Writer) Write(line []byte) (int, error) {
	if !o.limit.Allow() {
		o.dropped.Add(1)
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped since the start.
func (o *Writer) Dropped() uint64 { return o.dropped.Load() }

// Close writes what is queued. Nothing may be written after it.
func (o *Writer) Close() {
	close(o.lines)
	<-o.done
}

// run writes lines and flushes when none came for a while. A writer that fails
// leaves nowhere to report to, so its lines only count as dropped.
func (o *Writer) run(w io.Writer) {
	defer close(o.done)
	out := bufio.NewWriterSize(w, bufferBytes)
	for {
		line, open := <-o.lines
		if !open {
			break
		}
		o.put(out, line)
		if !o.drain(out) {
			break
		}
	}
	if out.Flush() != nil {
		o.dropped.Add(1)
	}
}

// drain writes what comes within the flush interval, then flushes. It returns
// false when the channel was closed.
func (o *Writer) drain(out *bufio.Writer) bool {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case line, open := <-o.lines:
			if !open {
				return false
			}
			o.put(out, line)
		case <-timer.C:
			if out.Flush() != nil {
				o.dropped.Add(1)
				out.Reset(io.Discard)
			}
			return true
		}
	}
}

func (o *Writer) put(out *bufio.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		o.dropped.Add(1)
	}
}
