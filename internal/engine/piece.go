package engine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// chunk is the document of one event of a stream.
type chunk struct {
	ID      string   `json:"id"`
	Attempt uint32   `json:"attempt"`
	Offset  int      `json:"offset"`
	Tokens  int      `json:"tokens"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// Parts of a chunk between its values, in the order in which AppendPiece
// writes them.
const (
	partID      = `{"id":`
	partAttempt = `,"object":"chat.completion.chunk","attempt":`
	partOffset  = `,"offset":`
	partTokens  = `,"tokens":`
	partContent = `,"choices":[{"index":0,"delta":{"content":`
	partFinish  = `},"finish_reason":`
	partEnd     = `}]}`
	null        = `null`
)

// AppendPiece appends a piece as a server-sent event. The strings must need no
// escapes in JSON.
func AppendPiece(dst []byte, p Piece) []byte {
	dst = append(dst, "data: "+partID...)
	dst = appendQuoted(dst, p.Work.Request)
	dst = append(dst, partAttempt...)
	dst = strconv.AppendUint(dst, uint64(p.Work.Attempt), 10)
	dst = append(dst, partOffset...)
	dst = strconv.AppendInt(dst, int64(p.Offset), 10)
	dst = append(dst, partTokens...)
	dst = strconv.AppendInt(dst, int64(p.Tokens), 10)
	dst = append(dst, partContent...)
	dst = appendQuoted(dst, p.Text)
	dst = append(dst, partFinish...)
	if p.Finish == "" {
		dst = append(dst, null...)
	} else {
		dst = appendQuoted(dst, p.Finish)
	}
	return append(dst, partEnd+"\n\n"...)
}

func appendQuoted(dst []byte, s string) []byte {
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// parsePiece reads a chunk. One laid out as AppendPiece writes it is read
// without the JSON decoder; last is the work of the piece before.
func parsePiece(data []byte, last WorkID) (Piece, error) {
	if p, ok := scanPiece(data, last); ok {
		return p, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Piece{}, errors.Wrap(err, "decode piece")
	}
	if len(c.Choices) != 1 {
		return Piece{}, errors.Errorf("piece with %d choices", len(c.Choices))
	}
	if c.Offset < 0 || c.Tokens < 0 {
		return Piece{}, errors.New("piece with a negative offset or length")
	}
	p := Piece{
		Work: WorkID{Request: c.ID, Attempt: c.Attempt}, Offset: c.Offset,
		Tokens: c.Tokens, Text: c.Choices[0].Delta.Content,
	}
	if reason := c.Choices[0].FinishReason; reason != nil {
		p.Finish = *reason
	}
	return p, nil
}

// scanner reads the parts of a chunk one after another; bad is set at the
// first that differs.
type scanner struct {
	rest []byte
	bad  bool
}

func scanPiece(data []byte, last WorkID) (Piece, bool) {
	s := scanner{rest: data}
	var p Piece
	s.literal(partID)
	p.Work.Request = s.text(last.Request)
	s.literal(partAttempt)
	attempt := s.number()
	s.literal(partOffset)
	p.Offset = s.number()
	s.literal(partTokens)
	p.Tokens = s.number()
	s.literal(partContent)
	p.Text = s.text("")
	s.literal(partFinish)
	if bytes.HasPrefix(s.rest, []byte(null)) {
		s.literal(null)
	} else {
		p.Finish = s.text("")
	}
	s.literal(partEnd)
	p.Work.Attempt = uint32(attempt)
	return p, !s.bad && len(s.rest) == 0
}

func (s *scanner) literal(want string) {
	if s.bad || len(s.rest) < len(want) || string(s.rest[:len(want)]) != want {
		s.bad = true
		return
	}
	s.rest = s.rest[len(want):]
}

// maxDigits keeps numbers within 32 bits.
const maxDigits = 9

func (s *scanner) number() int {
	n, i := 0, 0
	for i < len(s.rest) && i < maxDigits && s.rest[i] >= '0' && s.rest[i] <= '9' {
		n = n*10 + int(s.rest[i]-'0')
		i++
	}
	if s.bad || i == 0 || (i > 1 && s.rest[0] == '0') {
		s.bad = true
		return 0
	}
	s.rest = s.rest[i:]
	return n
}

// text reads a string of plain ASCII; it returns known itself if equal, to
// save an allocation.
func (s *scanner) text(known string) string {
	if s.bad || len(s.rest) == 0 || s.rest[0] != '"' {
		s.bad = true
		return ""
	}
	for i := 1; i < len(s.rest); i++ {
		switch c := s.rest[i]; {
		case c == '"':
			raw := s.rest[1:i]
			s.rest = s.rest[i+1:]
			if string(raw) == known {
				return known
			}
			return string(raw)
		case c < ' ' || c == '\\' || c > '~':
			s.bad = true
			return ""
		}
	}
	s.bad = true
	return ""
}
