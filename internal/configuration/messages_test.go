package configuration

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// TestAnswersAreBoundedAndMatchSnapshot sends random requests, also with
// invalid offsets and unknown parts. Every answer must keep the bounds of its
// size, contain only content of the snapshot's parts, and survive encoding and
// decoding.
func TestAnswersAreBoundedAndMatchSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 100, MaxAnswerBytes - 1, MaxAnswerBytes, MaxAnswerBytes + 1, MaxPartBytes})
		snapshot := Snapshot{Version: 1, Manifest: bytes.Repeat([]byte("m"), size.Draw(rt, "manifest")), Parts: map[string][]byte{}}
		for _, name := range []string{"a", "b"} {
			snapshot.Parts[name] = bytes.Repeat([]byte(name), size.Draw(rt, name))
		}
		offset := rapid.OneOf(rapid.Int(), rapid.IntRange(-1, MaxPartBytes+1))
		var r PartRequest
		for range rapid.IntRange(0, 2*MaxRequestedParts).Draw(rt, "wants") {
			part := rapid.SampledFrom([]string{ManifestPart, "a", "b", "unknown"}).Draw(rt, "part")
			r.Parts = append(r.Parts, RequestedPart{Part: part, Offset: offset.Draw(rt, "offset")})
		}
		body, err := msgpack.Marshal(snapshot.Answer(r))
		if err != nil {
			rt.Fatal(err)
		}
		var a PartAnswer
		if err := msgpack.Unmarshal(body, &a); err != nil {
			rt.Fatal(err)
		}
		checkChunks(rt, snapshot, r, a)
	})
}

// checkChunks fails the test if a chunk of the answer differs from the content
// of the requested part, or if the answer exceeds its bounds.
func checkChunks(rt *rapid.T, snapshot Snapshot, r PartRequest, a PartAnswer) {
	total := 0
	for i, c := range a.Chunks {
		total += len(c.Bytes)
		held := snapshot.Parts[c.Part]
		if c.Part == ManifestPart {
			held = snapshot.Manifest
		}
		if c.Part != r.Parts[i].Part || (c.Total > 0 && c.Total != len(held)) {
			rt.Fatalf("chunk %d belongs to another part or has a wrong total length", i)
		}
		if !bytes.Equal(c.Bytes, held[c.Offset:c.Offset+len(c.Bytes)]) {
			rt.Fatalf("chunk %d differs from the content of its part", i)
		}
	}
	if total > MaxAnswerBytes || len(a.Chunks) > MaxRequestedParts {
		rt.Fatalf("the answer has %d bytes in %d chunks, above its bounds", total, len(a.Chunks))
	}
}
