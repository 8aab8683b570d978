package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// These are the sizes of the blocks in the engines' prefix caches.
const (
	// PrefixBlockTokens is the length of one cached block in tokens.
	PrefixBlockTokens = 512
	// PrefixBlockBytes is the length of one cached block in bytes.
	PrefixBlockBytes = PrefixBlockTokens * BytesPerToken
)

// PrefixHashes returns the hashes of the prompt's leading whole blocks, at most
// limit of them if limit is above 0. Hash i identifies the prefix that consists
// of the blocks 0 to i, and equals CacheEvent.Prefix for that prefix.
func PrefixHashes(prompt string, limit int) []uint64 {
	n := len(prompt) / PrefixBlockBytes
	if limit > 0 && n > limit {
		n = limit
	}
	hashes := make([]uint64, n)
	var previous uint64
	var seed [8]byte
	for i := range hashes {
		binary.LittleEndian.PutUint64(seed[:], previous)
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		previous = d.Sum64()
		hashes[i] = previous
	}
	return hashes
}
