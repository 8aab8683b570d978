// Package answer checks that a caller received the complete answer to its own
// prompt. Each token that a simulated engine returns is determined by the hash of
// the prompt and the token's index, so that tokens of another answer, missing
// tokens and repeated tokens can be detected.
package answer

import "strings"

// Fault classifies what is wrong with an answer.
type Fault int

// Faults of an answer. Only the first fault of an answer is reported.
const (
	// None means that every token was the expected one.
	None Fault = iota
	// Mixed means that the text matches no token near this place of the answer,
	// so that it probably belongs to another answer.
	Mixed
	// Gapped means that tokens are missing before one that belongs to the answer.
	Gapped
	// Repeated means that a token arrived a second time, or that the answer is
	// longer than it should be.
	Repeated
	// Truncated means that the answer ended before its declared end.
	Truncated
)

// String returns the fault's name as reports and logs show it.
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

// TokenFunc returns the text of token i, counted from 0, of the answer to the
// prompt with the given hash.
type TokenFunc func(promptHash uint64, i int) string

// maxGapTokens is how many tokens after the expected one are compared with a
// text that does not match, in search of a gap.
const maxGapTokens = 2048

// Checker compares the text of one answer with the expected tokens as it arrives.
// Each attempt of a caller needs a new one. It is not safe for concurrent use.
type Checker struct {
	tokenText  TokenFunc
	promptHash uint64
	// nextIndex is the index of the next expected token.
	nextIndex int
	// unmatched is the received text that is not yet compared as a whole token.
	unmatched string
	fault     Fault
}

// NewChecker returns a checker for the answer to the prompt with the given hash.
func NewChecker(tokenText TokenFunc, promptHash uint64) *Checker {
	return &Checker{tokenText: tokenText, promptHash: promptHash}
}

// Feed compares the next piece of the answer's text. It does nothing after the
// first fault.
func (c *Checker) Feed(text string) {
	if c.fault != None {
		return
	}
	c.unmatched += text
	for c.unmatched != "" {
		expected := c.tokenText(c.promptHash, c.nextIndex)
		if !strings.HasPrefix(c.unmatched, expected) {
			if !strings.HasPrefix(expected, c.unmatched) {
				c.fault = c.classifyFault()
			}
			return
		}
		c.unmatched = c.unmatched[len(expected):]
		c.nextIndex++
	}
}

// classifyFault returns why the unmatched text does not begin with the expected
// token: a gap, a repeat of an earlier token, or text of another answer.
func (c *Checker) classifyFault() Fault {
	for i := c.nextIndex + 1; i <= c.nextIndex+maxGapTokens; i++ {
		if c.matchesToken(i) {
			return Gapped
		}
	}
	for i := c.nextIndex - 1; i >= 0; i-- {
		if c.matchesToken(i) {
			return Repeated
		}
	}
	return Mixed
}

// matchesToken reports whether the unmatched text can begin with token i. A text
// shorter than the token has to be its beginning.
func (c *Checker) matchesToken(i int) bool {
	expected := c.tokenText(c.promptHash, i)
	return strings.HasPrefix(c.unmatched, expected) || strings.HasPrefix(expected, c.unmatched)
}

// Tokens returns the number of tokens received in order so far.
func (c *Checker) Tokens() int { return c.nextIndex }

// Finish checks the length of an answer that was declared complete and has to
// consist of the given number of tokens. It returns the answer's first fault.
func (c *Checker) Finish(tokens int) Fault {
	switch {
	case c.fault != None:
	case c.unmatched != "" || c.nextIndex < tokens:
		c.fault = Truncated
	case c.nextIndex > tokens:
		c.fault = Repeated
	}
	return c.fault
}

// Fault returns the first fault found so far. It serves for answers that failed
// before their end.
func (c *Checker) Fault() Fault { return c.fault }
