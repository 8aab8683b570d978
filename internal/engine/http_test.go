package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// allErrors lists all errors that an answer can stand for.
var allErrors = []error{ErrNotRun, ErrNoMemory, ErrOutcomeUnknown, ErrFailed, ErrNoSuchWork, ErrFenced}

// TestErrorsOfEngineAnswers checks which errors each answer of an engine matches,
// and that it matches no other. Only the known error codes prove anything about
// the work.
func TestErrorsOfEngineAnswers(t *testing.T) {
	cases := map[string][]error{
		`{"error":{"code":"no_memory"}}`:        {ErrNotRun, ErrNoMemory},
		`{"error":{"code":"queue_full"}}`:       {ErrNotRun},
		`{"error":{"code":"leaving"}}`:          {ErrNotRun},
		`{"error":{"code":"model_not_loaded"}}`: {ErrNotRun},
		`{"error":{"code":"cancelled"}}`:        {ErrNotRun},
		`{"error":{"code":"bad_request"}}`:      {ErrNotRun},
		`{"error":{"code":"duplicate"}}`:        {ErrOutcomeUnknown},
		`{"error":{"code":"no_work"}}`:          {ErrNoSuchWork},
		`{"error":{"code":"fenced"}}`:           {ErrFenced},
		`{"error":{"code":"failed"}}`:           {ErrFailed},
		`{"error":{"code":"unheard-of"}}`:       {ErrOutcomeUnknown},
		`{"error":{"code":"no_mem`:              {ErrOutcomeUnknown},
		`Bad Gateway`:                           {ErrOutcomeUnknown},
		``:                                      {ErrOutcomeUnknown},
	}
	for body, want := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, body)
		}))
		c := NewHTTPClient(httpcall.DefaultConfig())
		_, err := c.Generate(context.Background(), strings.TrimPrefix(server.URL, "http://"), Request{Prompt: "x"})
		c.Close()
		server.Close()
		for _, one := range allErrors {
			wanted := false
			for _, w := range want {
				wanted = wanted || w == one
			}
			if errors.Is(err, one) != wanted {
				t.Errorf("%q: %v, is %v: %v", body, err, one, !wanted)
			}
		}
	}
}

// TestStreamEndsOnlyAfterItsLastPiece reads streams that are complete, cut off or
// malformed. Only a stream with its last piece may end with io.EOF.
func TestStreamEndsOnlyAfterItsLastPiece(t *testing.T) {
	piece := string(AppendPiece(nil, Piece{Work: WorkID{Request: "r"}, Tokens: 1, Text: "abcd"}))
	last := string(AppendPiece(nil, Piece{Work: WorkID{Request: "r"}, Offset: 1, Tokens: 1, Text: "abcd", Finish: FinishLength}))
	cases := []struct {
		name, body string
		want       error
	}{
		{"whole", piece + last + DoneEvent, io.EOF},
		{"without the marker at the end", piece + last, io.EOF},
		{"with comments and other fields", ": hello\n\nid: 4\nretry: 5\n" + piece + last, io.EOF},
		{"with CRLF", strings.ReplaceAll(piece+last, "\n", "\r\n"), io.EOF},
		{"with spaces in the JSON", strings.ReplaceAll(piece+last, `,"offset"`, ` , "offset"`), io.EOF},
		{"cut before the last piece", piece, ErrOutcomeUnknown},
		{"cut in a piece", piece + last[:40], ErrOutcomeUnknown},
		{"marker without a last piece", piece + DoneEvent, ErrOutcomeUnknown},
		{"garbled", piece + "data: {]\n\n" + last, ErrOutcomeUnknown},
		{"negative offset", strings.Replace(piece, `"offset":0`, `"offset":-1`, 1), ErrOutcomeUnknown},
		{"failed", piece + "event: error\ndata: {\"error\":{\"code\":\"failed\"}}\n\n", ErrFailed},
		{"failed with an unknown code", "event: error\ndata: {\"error\":{\"code\":\"\"}}\n\n", ErrOutcomeUnknown},
		{"endless line", "data: " + strings.Repeat("x", 2*maxEventBytes), ErrOutcomeUnknown},
	}
	for _, test := range cases {
		s := newEventStream(io.NopCloser(strings.NewReader(test.body)), func() {})
		var err error
		for err == nil {
			_, err = s.Next()
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}
