package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/memory"
)

const (
	// defaultMaxBodyBytes is the largest body if the configuration declares no limit.
	defaultMaxBodyBytes = 4 << 20
	// firstSegmentBytes and maxSegmentBytes are the sizes of the segments of a body: each
	// is twice as large as the one before, so a body takes at most about twice what came.
	firstSegmentBytes, maxSegmentBytes = 4 << 10, 64 << 10
	// bodyPauseTimeout is how long nothing of a body may come before the request is
	// refused.
	bodyPauseTimeout = 10 * time.Second
	// exhaustedRetryAfter is the retry time that callers get while there is no memory for
	// their requests.
	exhaustedRetryAfter = 500 * time.Millisecond
)

// requestBody is the body of a request, which can be read any number of times.
type requestBody struct {
	segments [][]byte
	size     int64
}

// reader returns a reader of the whole body.
func (b *requestBody) reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.segments))
	for _, segment := range b.segments {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}

// freeSegments keeps segments of maxSegmentBytes of bodies that were never passed on, so
// that a crowd of bodies that are refused leaves no garbage.
var freeSegments = sync.Pool{New: func() any { return new([maxSegmentBytes]byte) }}

// newSegment returns an empty segment.
func newSegment(size int64) []byte {
	if size == maxSegmentBytes {
		return freeSegments.Get().(*[maxSegmentBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// discard gives up a body that nobody has read: a server may read the body of a request
// even after its answer.
func (b *requestBody) discard() {
	for _, segment := range b.segments {
		if cap(segment) == maxSegmentBytes {
			freeSegments.Put((*[maxSegmentBytes]byte)(segment[:maxSegmentBytes]))
		}
	}
	*b = requestBody{}
}

// refusalWithoutMemory refuses a request for which there is no memory. It was not passed to
// any server.
func refusalWithoutMemory() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "memory", retryAfter: exhaustedRetryAfter, closes: true}
}

// readBody reads the whole body before the core decides anything, so that a
// request is never forwarded in part and a caller that leaves is noticed: the
// HTTP server detects a closed connection only after the body was read. The body
// must have come by the request's time limit.
func (in *inboundRequest) readBody(r *http.Request, conn *callerConn, c clock.Clock) *refusal {
	limit := in.configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	tooLarge := &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	if r.ContentLength > limit {
		return tooLarge
	}
	beforeRead := func() { conn.limitRead(min(bodyPauseTimeout, in.deadline-c.Now())) }
	err := in.body.read(r.Body, r.ContentLength, limit, in.holding, beforeRead)
	if err == nil && !in.holding.Complete() || conn.interrupted() {
		err = memory.ErrExhausted
	}
	if err == nil {
		conn.unlimitRead()
		return nil
	}
	in.body.discard()
	var timeout net.Error
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return refusalWithoutMemory()
	case errors.Is(err, errBodyTooLarge):
		return tooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return &refusal{status: http.StatusRequestTimeout, code: "body_timeout", closes: true}
	default:
		return &refusal{status: http.StatusBadRequest, code: "body_unreadable", detail: err.Error()}
	}
}

var errBodyTooLarge = errors.New("body is larger than its limit")

// read reads a body of at most limit bytes to its end. The length is the announced one, or
// negative; nothing is allocated for what has not come. The function beforeRead is called
// before each read.
func (b *requestBody) read(from io.Reader, length, limit int64, holding *memory.Holding, beforeRead func()) error {
	if from == nil || from == http.NoBody {
		return nil
	}
	var free []byte
	for {
		if len(free) == 0 {
			size := b.nextSegmentBytes(length, limit)
			if size == 0 {
				return b.readEnd(from, beforeRead)
			}
			if err := holding.Grow(size); err != nil {
				return err
			}
			segment := newSegment(size)
			free = segment[:size]
			b.segments = append(b.segments, segment)
		}
		beforeRead()
		n, err := from.Read(free)
		last := &b.segments[len(b.segments)-1]
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		free = free[n:]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the body")
		}
	}
}

// nextSegmentBytes returns the size of the next segment, 0 if the whole body has come.
func (b *requestBody) nextSegmentBytes(length, limit int64) int64 {
	size := int64(firstSegmentBytes)
	if n := len(b.segments); n > 0 {
		size = min(maxSegmentBytes, 2*int64(cap(b.segments[n-1])))
	}
	if length >= 0 {
		limit = length
	}
	return min(size, limit-b.size)
}

// readEnd checks that a body of which all that is allowed has come ends there.
func (b *requestBody) readEnd(from io.Reader, beforeRead func()) error {
	var more [1]byte
	for {
		beforeRead()
		n, err := from.Read(more[:])
		switch {
		case n > 0:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "read the end of the body")
		}
	}
}
