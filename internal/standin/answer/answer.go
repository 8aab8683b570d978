// Package answer defines the text that a stand-in engine answers with. Every
// token follows from the prompt and the token's index alone, so whoever knows
// the prompt can check an answer for foreign, missing and repeated tokens.
package answer

import (
	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of every token of an answer.
const TokenBytes = 4

const (
	alphabet   = "abcdefghijklmnopqrstuvwxyz234567"
	symbolBits = 5
	symbolMask = 1<<symbolBits - 1
)

// PromptHash returns the number that stands for a prompt.
func PromptHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// AnswerToken returns token i of the answer to the prompt with the hash given.
func AnswerToken(promptHash uint64, i int) string {
	var buf [TokenBytes]byte
	return string(AppendTokens(buf[:0], promptHash, i, i+1))
}

// AppendTokens appends the tokens from index from up to but without index to.
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

// mix is the finaliser of the splitmix64 generator.
func mix(hash, i uint64) uint64 {
	x := hash + (i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Matches reports whether text is the part of the answer that starts at token offset.
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
