// Package answer checks that a caller received its own answer whole. Each
// token of a stand-in engine's answer follows from the hash of the prompt and
// the token's index, so pieces of another answer, gaps and repeats show.
package answer

import "strings"

// Fault is what is wrong with an answer.
type Fault int

// The faults. Only the first fault of an answer is reported.
const (
	// None says that every token was the expected one.
	None Fault = iota
	// Mixed says that a token belongs to no place of this answer.
	Mixed
	// Gapped says that tokens are missing before one that belongs to the answer.
	Gapped
	// Repeated says that a token came again.
	Repeated
	// Truncated says that the answer ended before its declared end.
	Truncated
)

// String names the fault.
func (f Fault) String() string {
	switch f {
	case None:
		return "none"
	case Mixed:
		return "mixed"
	case Gapped:
		return "gapped"
	case Repeated:
		return "repeated"
	case Truncated:
		return "truncated"
	}
	return "unknown"
}

// TokenFunc returns the text of token i of the answer to a prompt.
type TokenFunc func(promptHash uint64, i int) string

// searchTokens is how far around the expected index a fault is looked for.
const searchTokens = 2048

// Checker follows one answer. Use a new one for each attempt of a caller.
type Checker struct {
	token TokenFunc
	hash  uint64
	next  int
	rest  string
	fault Fault
}

// NewChecker returns a checker for the answer to the prompt with the given hash.
func NewChecker(token TokenFunc, promptHash uint64) *Checker {
	return &Checker{token: token, hash: promptHash}
}

// Feed takes the next text of the stream.
func (c *Checker) Feed(text string) {
	if c.fault != None {
		return
	}
	c.rest += text
	for c.rest != "" {
		expected := c.token(c.hash, c.next)
		if !strings.HasPrefix(c.rest, expected) {
			if !strings.HasPrefix(expected, c.rest) {
				c.fault = c.classify()
			}
			return
		}
		c.rest = c.rest[len(expected):]
		c.next++
	}
}

// classify tells why the rest does not begin with the expected token.
func (c *Checker) classify() Fault {
	for i := c.next + 1; i <= c.next+searchTokens; i++ {
		if c.startsWith(i) {
			return Gapped
		}
	}
	for i := c.next - 1; i >= 0; i-- {
		if c.startsWith(i) {
			return Repeated
		}
	}
	return Mixed
}

// startsWith reports whether the rest can begin at token i.
func (c *Checker) startsWith(i int) bool {
	expected := c.token(c.hash, i)
	return strings.HasPrefix(c.rest, expected) || strings.HasPrefix(expected, c.rest)
}

// Tokens is the number of tokens received in order so far.
func (c *Checker) Tokens() int { return c.next }

// Finish ends an answer that was declared complete and had to have the given
// number of tokens; it returns the first fault.
func (c *Checker) Finish(tokens int) Fault {
	switch {
	case c.fault != None:
	case c.rest != "" || c.next < tokens:
		c.fault = Truncated
	case c.next > tokens:
		c.fault = Repeated
	}
	return c.fault
}

// Fault returns the first fault seen so far, for an answer that failed on the way.
func (c *Checker) Fault() Fault { return c.fault }
