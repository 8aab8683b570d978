package answer_test

import (
	"testing"

	"github.com/chestnutline/chestnutline/internal/standin/answer"
)

const tokens = 2000

// text returns the answer's tokens with the indexes from (included) to to
// (excluded).
func text(hash uint64, from, to int) string {
	return string(answer.AppendTokens(nil, hash, from, to))
}

func TestMatchesFindsForeignMissingAndRepeatedTokens(t *testing.T) {
	own, other := answer.PromptHash("own"), answer.PromptHash("other")
	if !answer.Matches(own, 0, text(own, 0, tokens)) || !answer.Matches(own, 7, text(own, 7, tokens)) {
		t.Fatal("an answer does not match itself")
	}
	for i := 1; i < tokens; i++ {
		wrong := map[string]string{
			"foreign": text(own, 0, i-1) + answer.AnswerToken(other, i-1),
			"missing": text(own, 0, i-1) + answer.AnswerToken(own, i),
			"repeat":  text(own, 0, i) + answer.AnswerToken(own, i-1),
			"cut":     text(own, 0, i)[:answer.TokenBytes*i-1],
		}
		for name, s := range wrong {
			if answer.Matches(own, 0, s) {
				t.Fatalf("%s token at index %d is not detected", name, i)
			}
		}
	}
}
