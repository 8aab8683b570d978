package engine

import (
	"encoding/json"
	"flag"
	"io"
	"os"
	"reflect"
	"slices"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"
)

// TestMain sets a fixed rapid.seed, so that all runs generate the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestEncodedRequestDecodesToTheSame encodes a request and compares the result of
// the JSON decoder with the request. It also compares DecodeRequest with the JSON
// decoder, on the encoded body and on a copy with one changed byte.
func TestEncodedRequestDecodesToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Request{Work: WorkID{Request: "r1", Attempt: 2}, Model: "judge@1", Prompt: rapid.String().Draw(t, "prompt"), MaxTokens: 3}
		if sent.Offset = rapid.IntRange(0, 2).Draw(t, "offset"); sent.Offset > 0 {
			sent.DeliveredText = rapid.String().Draw(t, "delivered")
		}
		if !utf8.ValidString(sent.Prompt + sent.DeliveredText) {
			t.Skip("not UTF-8")
		}
		body, length, err := encodeRequest(sent)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(body)
		if err != nil || int64(len(data)) != length {
			t.Fatalf("%d bytes, announced %d, error %v", len(data), length, err)
		}
		var got ChatRequest
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if split, err := DecodeRequest(data); err != nil || !reflect.DeepEqual(split, got) {
			t.Fatalf("split %+v, decoded %+v, %v", split, got, err)
		}
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		changed := slices.Clone(data)
		changed[at] = rapid.SampledFrom([]byte("\"{}[]:,\\x\x00")).Draw(t, "byte")
		var decoded ChatRequest
		strict := json.Unmarshal(changed, &decoded)
		if split, err := DecodeRequest(changed); (err == nil) != (strict == nil) || err == nil && !reflect.DeepEqual(split, decoded) {
			t.Fatalf("%q: split %+v, %v, decoded %+v, %v", changed, split, err, decoded, strict)
		}
		if got.Messages[0] != (Message{RoleUser, sent.Prompt}) || got.Work != sent.Work || got.Offset != sent.Offset {
			t.Fatalf("got %+v", got)
		}
		if sent.Offset > 0 && got.Messages[1] != (Message{RoleAssistant, sent.DeliveredText}) || sent.Offset == 0 && len(got.Messages) != 1 {
			t.Fatalf("got %+v", got)
		}
	})
}

// TestScannerAgreesWithJSONDecoder compares the scanner with the JSON decoder, on
// pieces as AppendPiece writes them and on pieces with one changed byte.
func TestScannerAgreesWithJSONDecoder(t *testing.T) {
	word := rapid.StringMatching(`[ -!#-\[\]-~]{0,12}`)
	rapid.Check(t, func(t *rapid.T) {
		p := Piece{
			Work:   WorkID{Request: word.Draw(t, "request"), Attempt: uint32(rapid.IntRange(0, 1<<20).Draw(t, "attempt"))},
			Offset: rapid.IntRange(0, 1<<25).Draw(t, "offset"), Tokens: rapid.IntRange(0, 99).Draw(t, "tokens"),
			Text: word.Draw(t, "text"), Finish: rapid.SampledFrom([]string{"", FinishLength, FinishCancelled}).Draw(t, "finish"),
		}
		event := AppendPiece(nil, p)
		data := event[len("data: ") : len(event)-2]
		scanned, ok := scanPiece(data, WorkID{})
		if !ok || scanned != p {
			t.Fatalf("scanned %+v from %s", scanned, data)
		}
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[at] = rapid.Byte().Draw(t, "byte")
		scanned, ok = scanPiece(data, WorkID{})
		if !ok {
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			t.Fatalf("scanner accepts %q, decoder says %v", data, err)
		}
		if c.ID != scanned.Work.Request || c.Attempt != scanned.Work.Attempt || c.Offset != scanned.Offset ||
			c.Tokens != scanned.Tokens || c.Choices[0].Delta.Content != scanned.Text {
			t.Fatalf("scanned %+v, decoded %+v", scanned, c)
		}
	})
}

func BenchmarkPiece(b *testing.B) {
	p := Piece{Work: WorkID{Request: "a-1-000001", Attempt: 1}, Offset: 123, Tokens: 1, Text: "vkk7"}
	event := AppendPiece(nil, p)
	data := event[len("data: ") : len(event)-2]
	b.Run("scan", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := parsePiece(data, p.Work); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var c chunk
			if err := json.Unmarshal(data, &c); err != nil {
				b.Fatal(err)
			}
		}
	})
}
