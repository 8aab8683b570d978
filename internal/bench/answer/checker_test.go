package answer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

func token(hash uint64, i int) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(hash, "/", i))))
}

func text(hash uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

func TestCheckerFindsFaults(t *testing.T) {
	cases := []struct {
		name   string
		pieces []string
		tokens int
		want   Fault
	}{
		{"whole", []string{text(7, 0, 40)}, 40, None},
		{"whole in odd pieces", []string{text(7, 0, 40)[:13], text(7, 0, 40)[13:]}, 40, None},
		{"empty", nil, 40, Truncated},
		{"another's answer", []string{text(8, 0, 40)}, 40, Mixed},
		{"another's piece in between", []string{text(7, 0, 10), text(8, 10, 20), text(7, 20, 40)}, 40, Mixed},
		{"gap", []string{text(7, 0, 10), text(7, 12, 40)}, 40, Gapped},
		{"repeat", []string{text(7, 0, 10), text(7, 8, 40)}, 40, Repeated},
		{"restart", []string{text(7, 0, 10), text(7, 0, 40)}, 40, Repeated},
		{"cut", []string{text(7, 0, 39)}, 40, Truncated},
		{"cut within a token", []string{text(7, 0, 40)[:317]}, 40, Truncated},
		{"too long", []string{text(7, 0, 41)}, 40, Repeated},
	}
	for _, c := range cases {
		checker := NewChecker(token, 7)
		for _, piece := range c.pieces {
			checker.Feed(piece)
		}
		if got := checker.Finish(c.tokens); got != c.want {
			t.Errorf("%s: fault %s, want %s", c.name, got, c.want)
		}
	}
}

// TestAnyChangeIsFound removes, repeats or replaces a run of tokens anywhere.
func TestAnyChangeIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 200).Draw(t, "tokens")
		at := rapid.IntRange(0, n-1).Draw(t, "at")
		run := rapid.IntRange(1, n-at).Draw(t, "run")
		var bad string
		switch rapid.SampledFrom([]string{"drop", "repeat", "replace"}).Draw(t, "change") {
		case "drop":
			bad = text(7, 0, at) + text(7, at+run, n)
		case "repeat":
			bad = text(7, 0, at+run) + text(7, at, n)
		default:
			bad = text(7, 0, at) + text(9, at, at+run) + text(7, at+run, n)
		}
		checker := NewChecker(token, 7)
		for bad != "" {
			size := rapid.IntRange(1, len(bad)).Draw(t, "piece")
			checker.Feed(bad[:size])
			bad = bad[size:]
		}
		if checker.Finish(n) == None {
			t.Fatalf("%d tokens changed at %d were not found", run, at)
		}
	})
}
