// Package answer generates the text with which a stand-in engine answers. Each
// token depends only on the prompt and on the token's index. Anyone who knows
// the prompt can therefore check an answer for foreign, missing and repeated
// tokens.
package answer

import (
	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of every token of an answer, in bytes.
const TokenBytes = 4

// A token consists of TokenBytes symbols of the alphabet, each of which is selected
// by symbolBits bits of a number.
const (
	alphabet   = "abcdefghijklmnopqrstuvwxyz234567"
	symbolBits = 5
	symbolMask = 1<<symbolBits - 1
)

// PromptHash returns the hash of a prompt that determines its answer.
func PromptHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// AnswerToken returns the token with index i of the answer to the prompt with
// the given hash.
func AnswerToken(promptHash uint64, i int) string {
	var buf [TokenBytes]byte
	return string(AppendTokens(buf[:0], promptHash, i, i+1))
}

// AppendTokens appends to dst the tokens with the indexes from (included) to to
// (excluded).
func AppendTokens(dst []byte, promptHash uint64, from, to int) []byte {
	for i := from; i < to; i++ {
		x := mix(promptHash, uint64(i))
		for range TokenBytes {
			dst = append(dst, alphabet[x&symbolMask])
			x >>= symbolBits
		}
	}
	return dst
}

// mix combines the prompt's hash and a token's index into a random-looking
// number. It is the finaliser of the splitmix64 generator.
func mix(hash, i uint64) uint64 {
	x := hash + (i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Matches reports whether text is the part of the answer that starts at the
// token with index offset.
func Matches(promptHash uint64, offset int, text string) bool {
	if len(text)%TokenBytes != 0 {
		return false
	}
	for i := 0; i < len(text); i += TokenBytes {
		if AnswerToken(promptHash, offset+i/TokenBytes) != text[i:i+TokenBytes] {
			return false
		}
	}
	return true
}
