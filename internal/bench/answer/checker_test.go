package answer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// tokenText returns the expected text of token i, which depends only on the prompt
// hash and i.
func tokenText(hash uint64, i int) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(hash, "/", i))))
}

// answerText returns the text of the tokens from index from up to, but not
// including, to.
func answerText(hash uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenText(hash, i))
	}
	return b.String()
}

func TestCheckerClassifiesFaults(t *testing.T) {
	cases := []struct {
		name   string
		pieces []string
		tokens int
		want   Fault
	}{
		{"whole", []string{answerText(7, 0, 40)}, 40, None},
		{"complete, in pieces that split tokens", []string{answerText(7, 0, 40)[:13], answerText(7, 0, 40)[13:]}, 40, None},
		{"empty", nil, 40, Truncated},
		{"another answer", []string{answerText(8, 0, 40)}, 40, Mixed},
		{"piece of another answer in between", []string{answerText(7, 0, 10), answerText(8, 10, 20), answerText(7, 20, 40)}, 40, Mixed},
		{"gap", []string{answerText(7, 0, 10), answerText(7, 12, 40)}, 40, Gapped},
		{"repeat", []string{answerText(7, 0, 10), answerText(7, 8, 40)}, 40, Repeated},
		{"restart", []string{answerText(7, 0, 10), answerText(7, 0, 40)}, 40, Repeated},
		{"cut", []string{answerText(7, 0, 39)}, 40, Truncated},
		{"cut within a token", []string{answerText(7, 0, 40)[:317]}, 40, Truncated},
		{"too long", []string{answerText(7, 0, 41)}, 40, Repeated},
	}
	for _, c := range cases {
		checker := NewChecker(tokenText, 7)
		for _, piece := range c.pieces {
			checker.Feed(piece)
		}
		if got := checker.Finish(c.tokens); got != c.want {
			t.Errorf("%s: fault %s, want %s", c.name, got, c.want)
		}
	}
}

// TestCheckerDetectsAnyChangedRunOfTokens removes, repeats or replaces a run of
// tokens at any place.
func TestCheckerDetectsAnyChangedRunOfTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 200).Draw(t, "tokens")
		at := rapid.IntRange(0, n-1).Draw(t, "at")
		run := rapid.IntRange(1, n-at).Draw(t, "run")
		var bad string
		switch rapid.SampledFrom([]string{"drop", "repeat", "replace"}).Draw(t, "change") {
		case "drop":
			bad = answerText(7, 0, at) + answerText(7, at+run, n)
		case "repeat":
			bad = answerText(7, 0, at+run) + answerText(7, at, n)
		default:
			bad = answerText(7, 0, at) + answerText(9, at, at+run) + answerText(7, at+run, n)
		}
		checker := NewChecker(tokenText, 7)
		for bad != "" {
			size := rapid.IntRange(1, len(bad)).Draw(t, "piece")
			checker.Feed(bad[:size])
			bad = bad[size:]
		}
		if checker.Finish(n) == None {
			t.Fatalf("the change of %d tokens at index %d was not detected", run, at)
		}
	})
}
