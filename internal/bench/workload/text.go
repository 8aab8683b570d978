package workload

import (
	"bytes"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/engine"
)

const (
	// poolBytes is the size of the text from which all prompts are cut.
	poolBytes = 8 << 20
	// markBytes is the length of the random mark that makes a prompt unique.
	markBytes = 32
	// alphabet contains only characters that need no escaping in JSON.
	alphabet = "abcdefghijklmnopqrstuvwxyz .,ABC"
)

// TextPool is a random text of which prompts are slices, without copying.
type TextPool struct {
	text []byte
}

// NewTextPool generates the text that belongs to a seed.
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

// cut returns n bytes of the pool from an offset, which may be any number. The
// bytes come in several parts if they wrap around the end of the pool.
func (p *TextPool) cut(offset uint64, n int) [][]byte {
	var parts [][]byte
	start := int(offset % poolBytes)
	for n > 0 {
		part := p.text[start:min(start+n, poolBytes)]
		parts = append(parts, part)
		n -= len(part)
		start = 0
	}
	return parts
}

// Prompt is the text of a prompt in parts that share the memory of the pool.
type Prompt struct {
	parts [][]byte
	bytes int
	hash  uint64
}

// Prompt builds the text of a request: its shared prefix, a mark that is unique
// to it, and a slice of the pool. The same request and pool always give the same
// text.
func (p *TextPool) Prompt(r *Request) Prompt {
	total := r.PromptTokens * engine.BytesPerToken
	var parts [][]byte
	if r.PrefixTokens > 0 {
		parts = p.cut(r.PrefixSeed, r.PrefixTokens*engine.BytesPerToken)
	}
	parts = append(parts, uniqueMark(r.TextSeed))
	parts = append(parts, p.cut(r.TextSeed, total-r.PrefixTokens*engine.BytesPerToken-markBytes)...)
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(part)
	}
	return Prompt{parts: parts, bytes: total, hash: digest.Sum64()}
}

func uniqueMark(seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, markBytes))
	text := make([]byte, markBytes)
	for i := range text {
		text[i] = 'a' + byte(r.IntN(26))
	}
	return text
}

// Hash returns the xxhash64 of the whole text.
func (p Prompt) Hash() uint64 { return p.hash }

// Len returns the length of the text in bytes.
func (p Prompt) Len() int { return p.bytes }

// Reader returns a new reader of the whole text.
func (p Prompt) Reader() io.Reader {
	readers := make([]io.Reader, len(p.parts))
	for i, part := range p.parts {
		readers[i] = bytes.NewReader(part)
	}
	return io.MultiReader(readers...)
}
