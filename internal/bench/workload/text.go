package workload

import (
	"bytes"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/engine"
)

const (
	// poolBytes is the size of the text that all prompts are cut from.
	poolBytes = 8 << 20
	// markBytes is the length of the mark that makes a prompt unique.
	markBytes = 32
	// alphabet needs no escaping within JSON.
	alphabet = "abcdefghijklmnopqrstuvwxyz .,ABC"
)

// TextPool is text that prompts are cut from without copying.
type TextPool struct {
	text []byte
}

// NewTextPool generates the text of a seed.
func NewTextPool(seed uint64) *TextPool {
	r := rand.New(rand.NewPCG(seed, poolBytes))
	text := make([]byte, poolBytes)
	for i := 0; i < len(text); i += 8 {
		bits := r.Uint64()
		for j := range 8 {
			text[i+j] = alphabet[(bits>>(8*j))%uint64(len(alphabet))]
		}
	}
	return &TextPool{text: text}
}

// cut returns n bytes of the pool from an offset that may lie anywhere.
func (p *TextPool) cut(offset uint64, n int) [][]byte {
	var parts [][]byte
	at := int(offset % poolBytes)
	for n > 0 {
		part := p.text[at:min(at+n, poolBytes)]
		parts = append(parts, part)
		n -= len(part)
		at = 0
	}
	return parts
}

// Prompt is a text in parts that share the pool's memory.
type Prompt struct {
	parts [][]byte
	bytes int
	hash  uint64
}

// Prompt builds the text of a request: its shared prefix, a mark of its own
// and a cut of the pool. It is the same for the same request and pool.
func (p *TextPool) Prompt(r *Request) Prompt {
	total := r.PromptTokens * engine.BytesPerToken
	var parts [][]byte
	if r.PrefixTokens > 0 {
		parts = p.cut(r.PrefixSeed, r.PrefixTokens*engine.BytesPerToken)
	}
	parts = append(parts, mark(r.TextSeed))
	parts = append(parts, p.cut(r.TextSeed, total-r.PrefixTokens*engine.BytesPerToken-markBytes)...)
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(part)
	}
	return Prompt{parts: parts, bytes: total, hash: digest.Sum64()}
}

func mark(seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, markBytes))
	text := make([]byte, markBytes)
	for i := range text {
		text[i] = 'a' + byte(r.IntN(26))
	}
	return text
}

// Hash is the xxhash64 of the whole text.
func (p Prompt) Hash() uint64 { return p.hash }

// Len is the length of the text in bytes.
func (p Prompt) Len() int { return p.bytes }

// Reader returns a new reader over the text.
func (p Prompt) Reader() io.Reader {
	readers := make([]io.Reader, len(p.parts))
	for i, part := range p.parts {
		readers[i] = bytes.NewReader(part)
	}
	return io.MultiReader(readers...)
}
