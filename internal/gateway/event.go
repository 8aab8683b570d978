package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// Reasons for which bytes of an answer are no events of a stream. The rest of such an
// answer is not read: nothing tells where the events would go on.
var (
	errEventTooLarge   = errors.New("event of a stream is too large")
	errInvalidLine     = errors.New("line of a stream is neither a field nor a comment")
	errEventWithoutID  = errors.New("event of a stream has no valid id")
	errEventOutOfOrder = errors.New("event of a stream has no higher id than the one before")
)

// noEventID is the id of a block that is no event, such as a comment.
const noEventID = -1

// streamEvent is one event of a stream as it was received, including the blank
// line that ends it. It is noEventID if it consists of comments and of fields that
// concern the connection alone.
type streamEvent struct {
	id  int64
	raw []byte
}

// eventReader reads the events of one answer.
type eventReader struct {
	r *bufio.Reader
	// lastID is the id of the last event, noEventID before the first one.
	lastID int64
	// raw is the memory of the events, each of which is overwritten by the next one. grow
	// is asked before more than freeAnswerBytes of it are used.
	raw  []byte
	grow func(bytes int64) error
}

// newEventReader returns a reader of the events in the body of an answer.
func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(body), lastID: noEventID, grow: func(int64) error { return nil }}
}

// next reads one event, with the blank lines before it: alone they can't be told from
// bytes without meaning. It returns io.EOF when the stream ends between two events,
// io.ErrUnexpectedEOF when it ends within one, and one of the errors above for bytes
// that are no event or whose id does not follow that of the event before. An event is valid
// until the next call.
func (er *eventReader) next() (streamEvent, error) {
	e := streamEvent{id: noEventID, raw: er.raw[:0]}
	defer func() { er.raw = e.raw }()
	isEvent, isBlank := false, true
	for {
		line, err := er.readLine(&e)
		if err != nil {
			return e, endOfStream(e, err)
		}
		if len(line) == 0 && isBlank {
			continue
		}
		isBlank = false
		if len(line) == 0 {
			return e, er.checkOrder(e, isEvent)
		}
		name, value, err := parseLine(line)
		if err != nil {
			return e, err
		}
		isEvent = isEvent || name != "" && name != "retry"
		if name != "id" {
			continue
		}
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 0 {
			return e, errEventWithoutID
		}
		e.id = id
	}
}

// endOfStream returns what an error of reading means after the given part of an event.
// After blank lines alone the stream has ended, which the next call of next reports.
func endOfStream(e streamEvent, err error) error {
	switch {
	case !errors.Is(err, io.EOF) || len(e.raw) == 0:
		return err
	case len(bytes.Trim(e.raw, "\r\n")) == 0:
		return nil
	default:
		return io.ErrUnexpectedEOF
	}
}

// checkOrder returns an error if an event lacks an id or its id does not rise.
func (er *eventReader) checkOrder(e streamEvent, isEvent bool) error {
	switch {
	case !isEvent:
		return nil
	case e.id == noEventID:
		return errEventWithoutID
	case e.id <= er.lastID:
		return errEventOutOfOrder
	}
	er.lastID = e.id
	return nil
}

// readLine appends the next line to an event and returns it without its end.
func (er *eventReader) readLine(e *streamEvent) ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := er.r.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err := er.reserve(e, len(part)); err != nil {
			return nil, err
		}
		e.raw = append(e.raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			// A line that can't become a valid one may have no end.
			if _, _, err := parseLine(e.raw[start:]); err != nil {
				return nil, err
			}
		case err != nil:
			return nil, err
		default:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		}
	}
}

// reserve makes room for more bytes of an event. The room is charged before it is used.
func (er *eventReader) reserve(e *streamEvent, more int) error {
	needed := len(e.raw) + more
	if needed <= cap(e.raw) {
		return nil
	}
	size := max(needed, min(2*cap(e.raw), maxEventBytes))
	if size > freeAnswerBytes {
		if err := er.grow(int64(size - cap(e.raw))); err != nil {
			return err
		}
	}
	grown := make([]byte, len(e.raw), size)
	copy(grown, e.raw)
	e.raw = grown
	return nil
}

// parseLine splits a line into the name of its field and the value. The name of a comment
// is empty. It returns errInvalidLine for a line that is neither.
func parseLine(line []byte) (name string, value []byte, err error) {
	before, after, found := bytes.Cut(line, []byte(":"))
	if len(before) == 0 {
		if !isText(after) {
			return "", nil, errInvalidLine
		}
		return "", nil, nil
	}
	const maxFieldName = 64
	if !found && len(before) > maxFieldName {
		return "", nil, errInvalidLine
	}
	for _, c := range before {
		if !isFieldNameByte(c) {
			return "", nil, errInvalidLine
		}
	}
	return string(before), bytes.TrimSpace(after), nil
}

// isFieldNameByte reports whether a byte may be a part of the name of a field.
func isFieldNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// isText reports whether bytes are the text of a comment, of which the end may be missing.
func isText(b []byte) bool {
	for len(b) > 0 {
		r, size := utf8.DecodeRune(b)
		if r == utf8.RuneError && size == 1 && utf8.FullRune(b) || r < ' ' && r != '\t' {
			return false
		}
		b = b[size:]
	}
	return true
}
