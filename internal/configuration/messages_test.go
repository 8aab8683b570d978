package configuration

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// TestAnswersAreBoundedAndTrue asks for anything: an answer keeps its bounds,
// holds only what the parts hold, and survives the codec.
func TestAnswersAreBoundedAndTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 100, MaxAnswerBytes - 1, MaxAnswerBytes, MaxAnswerBytes + 1, MaxPartBytes})
		h := Snapshot{Version: 1, Manifest: bytes.Repeat([]byte("m"), size.Draw(rt, "manifest")), Parts: map[string][]byte{}}
		for _, name := range []string{"a", "b"} {
			h.Parts[name] = bytes.Repeat([]byte(name), size.Draw(rt, name))
		}
		offset := rapid.OneOf(rapid.Int(), rapid.IntRange(-1, MaxPartBytes+1))
		var r PartRequest
		for range rapid.IntRange(0, 2*MaxRequestedParts).Draw(rt, "wants") {
			part := rapid.SampledFrom([]string{ManifestPart, "a", "b", "unknown"}).Draw(rt, "part")
			r.Parts = append(r.Parts, RequestedPart{Part: part, Offset: offset.Draw(rt, "offset")})
		}
		body, err := msgpack.Marshal(h.Answer(r))
		if err != nil {
			rt.Fatal(err)
		}
		var a PartAnswer
		if err := msgpack.Unmarshal(body, &a); err != nil {
			rt.Fatal(err)
		}
		checkChunks(rt, h, r, a)
	})
}

func checkChunks(rt *rapid.T, h Snapshot, r PartRequest, a PartAnswer) {
	total := 0
	for i, c := range a.Chunks {
		total += len(c.Bytes)
		held := h.Parts[c.Part]
		if c.Part == ManifestPart {
			held = h.Manifest
		}
		if c.Part != r.Parts[i].Part || (c.Total > 0 && c.Total != len(held)) {
			rt.Fatalf("chunk %d is of another part", i)
		}
		if !bytes.Equal(c.Bytes, held[c.Offset:c.Offset+len(c.Bytes)]) {
			rt.Fatalf("chunk %d differs from the part", i)
		}
	}
	if total > MaxAnswerBytes || len(a.Chunks) > MaxRequestedParts {
		rt.Fatalf("%d bytes in %d chunks", total, len(a.Chunks))
	}
}
