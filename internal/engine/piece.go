package engine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// chunk is the JSON document of one event of a stream.
type chunk struct {
	ID      string   `json:"id"`
	Attempt uint32   `json:"attempt"`
	Offset  int      `json:"offset"`
	Tokens  int      `json:"tokens"`
	Choices []choice `json:"choices"`
}

// choice is the one choice of a chunk; delta contains the text of the piece.
type choice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// These are the constant parts of a chunk around its values, in the order in
// which AppendPiece writes them.
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

// AppendPiece appends a piece to dst as a server-sent event. None of the piece's
// strings may need escapes in JSON.
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

// appendQuoted appends a string in quotes, without escapes.
func appendQuoted(dst []byte, s string) []byte {
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// parsePiece parses a chunk. A chunk in the exact layout of AppendPiece is read
// without the JSON decoder. previousWork is the work of the previous piece of the
// stream; its request id is reused if the piece has the same one, which saves an
// allocation.
func parsePiece(data []byte, previousWork WorkID) (Piece, error) {
	if p, ok := scanPiece(data, previousWork); ok {
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

// scanner reads the parts of a chunk one after another. It sets failed at the
// first part that does not have the expected layout, and every later read fails
// too.
type scanner struct {
	remaining []byte
	failed    bool
}

// scanPiece reads a chunk in the exact layout of AppendPiece. It returns false
// for any other layout.
func scanPiece(data []byte, previousWork WorkID) (Piece, bool) {
	s := scanner{remaining: data}
	var p Piece
	s.readLiteral(partID)
	p.Work.Request = s.readString(previousWork.Request)
	s.readLiteral(partAttempt)
	attempt := s.readNumber()
	s.readLiteral(partOffset)
	p.Offset = s.readNumber()
	s.readLiteral(partTokens)
	p.Tokens = s.readNumber()
	s.readLiteral(partContent)
	p.Text = s.readString("")
	s.readLiteral(partFinish)
	if bytes.HasPrefix(s.remaining, []byte(null)) {
		s.readLiteral(null)
	} else {
		p.Finish = s.readString("")
	}
	s.readLiteral(partEnd)
	p.Work.Attempt = uint32(attempt)
	return p, !s.failed && len(s.remaining) == 0
}

// readLiteral skips the given text, which must come next.
func (s *scanner) readLiteral(want string) {
	if s.failed || len(s.remaining) < len(want) || string(s.remaining[:len(want)]) != want {
		s.failed = true
		return
	}
	s.remaining = s.remaining[len(want):]
}

// maxDigits is the largest number of digits of a number, which keeps numbers
// within 32 bits.
const maxDigits = 9

// readNumber reads a decimal number without a sign or leading zeros.
func (s *scanner) readNumber() int {
	n, i := 0, 0
	for i < len(s.remaining) && i < maxDigits && s.remaining[i] >= '0' && s.remaining[i] <= '9' {
		n = n*10 + int(s.remaining[i]-'0')
		i++
	}
	if s.failed || i == 0 || (i > 1 && s.remaining[0] == '0') {
		s.failed = true
		return 0
	}
	s.remaining = s.remaining[i:]
	return n
}

// readString reads a quoted string of plain ASCII without escapes. If it equals
// expected, it returns expected itself, which saves an allocation.
func (s *scanner) readString(expected string) string {
	if s.failed || len(s.remaining) == 0 || s.remaining[0] != '"' {
		s.failed = true
		return ""
	}
	for i := 1; i < len(s.remaining); i++ {
		switch c := s.remaining[i]; {
		case c == '"':
			raw := s.remaining[1:i]
			s.remaining = s.remaining[i+1:]
			if string(raw) == expected {
				return expected
			}
			return string(raw)
		case c < ' ' || c == '\\' || c > '~':
			s.failed = true
			return ""
		}
	}
	s.failed = true
	return ""
}
