// Package outlog writes log lines to a slow writer without blocking the code
// that logs. Lines that exceed a rate limit, or find the queue full, are
// dropped and counted.
package outlog

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond and maxBurstLines limit the volume of the log. A host
	// of the largest size planned handles about 100 requests a second, with
	// three lines each.
	maxLinesPerSecond = 400
	maxBurstLines     = 1200
	// queueLines limits the number of lines that wait while the underlying
	// writer is slow.
	queueLines = 1024
	// flushInterval limits how long a line may wait in the process for more
	// lines.
	flushInterval = 100 * time.Millisecond
	// bufferBytes is the size of the buffer between two flushes.
	bufferBytes = 16 << 10
)

// Writer is an io.Writer that takes one whole line per call. Its methods,
// except for Close, may be called from any goroutine.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a Writer that writes to w until Close is called.
func New(w io.Writer) *Writer {
	o := &Writer{
		lines:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		done:    make(chan struct{}),
	}
	go o.run(w)
	return o
}

// Write queues a copy of one line. It always reports success; a line that
// exceeds the rate limit or finds the queue full is dropped and counted.
func (o *Writer) Write(line []byte) (int, error) {
	if !o.limiter.Allow() {
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

// Dropped returns the number of lines that were dropped since the Writer was
// created.
func (o *Writer) Dropped() uint64 { return o.dropped.Load() }

// Close writes the lines that are queued and waits until that is done. Write
// must not be called after it.
func (o *Writer) Close() {
	close(o.lines)
	<-o.done
}

// run writes the queued lines, and flushes them after the flush interval, until
// the queue is closed. Nothing can be reported about a failure of the
// underlying writer, so its lines are only counted as dropped.
func (o *Writer) run(w io.Writer) {
	defer close(o.done)
	out := bufio.NewWriterSize(w, bufferBytes)
	for {
		line, open := <-o.lines
		if !open {
			break
		}
		o.writeLine(out, line)
		if !o.writeUntilFlush(out) {
			break
		}
	}
	if out.Flush() != nil {
		o.dropped.Add(1)
	}
}

// writeUntilFlush writes the lines that come within the flush interval, and
// then flushes. It returns false if the queue was closed.
func (o *Writer) writeUntilFlush(out *bufio.Writer) bool {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case line, open := <-o.lines:
			if !open {
				return false
			}
			o.writeLine(out, line)
		case <-timer.C:
			if out.Flush() != nil {
				o.dropped.Add(1)
				out.Reset(io.Discard)
			}
			return true
		}
	}
}

// writeLine writes one line to the buffer and counts a failure.
func (o *Writer) writeLine(out *bufio.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		o.dropped.Add(1)
	}
}
