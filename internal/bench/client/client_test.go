package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// answerTokens is the number of tokens of a complete answer in these tests.
const answerTokens = 24

// tokenText returns the expected text of token i, which depends only on the prompt
// hash and i.
func tokenText(hash uint64, i int) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(hash, "/", i))))
}

// chatRequestBody holds the fields of a chat request that the tests read.
type chatRequestBody struct {
	MaxTokens int `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// fakeRouter starts a server that answers each request with serve, which receives
// the hash of the prompt, or 0 for services. It returns the server's address.
func fakeRouter(t *testing.T, serve func(w http.ResponseWriter, hash uint64)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/services/") {
			_, _ = io.Copy(io.Discard, r.Body)
			serve(w, 0)
			return
		}
		var body chatRequestBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.MaxTokens != answerTokens {
			t.Errorf("decode the request body: %v", err)
		}
		w.Header().Set("X-Request-Id", "r-1")
		serve(w, xxhash.Sum64String(body.Messages[0].Content))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// send sends a request with a new client.
func send(t *testing.T, address string, r *workload.Request) (Outcome, error) {
	t.Helper()
	c := New("m", workload.NewTextPool(1), tokenText)
	t.Cleanup(c.Close)
	return c.Send(context.Background(), Attempt{Request: r, Address: address, Due: time.Now()})
}

// promptRequest returns a request for an answer of answerTokens tokens.
func promptRequest() *workload.Request {
	return &workload.Request{
		Class: workload.ClassMedium, Kind: "thread", Organisation: "org-01",
		PromptTokens: 5_000, AnswerTokens: answerTokens, TextSeed: 7, TimeLimit: time.Minute,
	}
}

// writePiece writes one chunk of a completion; finish is its finish reason, if
// any.
func writePiece(w io.Writer, text, finish string) {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", text, reason)
}

// writePieces writes the tokens from index from up to, but not including, to, each
// as one chunk. The last token of an answer has a finish reason.
func writePieces(w io.Writer, hash uint64, from, to int) {
	for i := from; i < to; i++ {
		finish := ""
		if i == answerTokens-1 {
			finish = "length"
		}
		writePiece(w, tokenText(hash, i), finish)
	}
}

// notRunProblem is a problem document stating that the request was not executed.
const notRunProblem = `{"code":"busy","outcome":"not_run","request_id":"r-1"}`

func TestSendClassifiesOutcomes(t *testing.T) {
	cases := []struct {
		name           string
		serve          func(w http.ResponseWriter, hash uint64)
		result         Result
		fault          answer.Fault
		problemOutcome string
	}{
		{"whole", func(w http.ResponseWriter, hash uint64) {
			writePieces(w, hash, 0, answerTokens)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Delivered, answer.None, ""},
		{"another's", func(w http.ResponseWriter, hash uint64) {
			writePieces(w, hash+1, 0, answerTokens)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Wrong, answer.Mixed, ""},
		{"gap", func(w http.ResponseWriter, hash uint64) {
			writePieces(w, hash, 0, 5)
			writePieces(w, hash, 6, answerTokens)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Wrong, answer.Gapped, ""},
		{"truncated but declared complete", func(w http.ResponseWriter, hash uint64) {
			writePieces(w, hash, 0, answerTokens-2)
			writePiece(w, tokenText(hash, answerTokens-2), "stop")
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Wrong, answer.Truncated, ""},
		{"ended without a final event", func(w http.ResponseWriter, hash uint64) { writePieces(w, hash, 0, 5) }, Broken, answer.None, ""},
		{"failed after some tokens", func(w http.ResponseWriter, hash uint64) {
			writePieces(w, hash, 0, 5)
			fmt.Fprintf(w, "event: error\ndata: {\"code\":\"lost\",\"outcome\":\"failed\"}\n\n")
		}, Failed, answer.None, ProblemFailed},
		{"refused", func(w http.ResponseWriter, _ uint64) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, notRunProblem)
		}, Refused, answer.None, ProblemNotRun},
		{"not_run after tokens is no refusal", func(w http.ResponseWriter, hash uint64) {
			writePieces(w, hash, 0, 5)
			fmt.Fprintf(w, "event: error\ndata: %s\n\n", notRunProblem)
		}, Failed, answer.None, ProblemNotRun},
		{"failed without a problem document", func(w http.ResponseWriter, _ uint64) { w.WriteHeader(http.StatusBadGateway) }, Broken, answer.None, ""},
	}
	for _, c := range cases {
		o, err := send(t, fakeRouter(t, c.serve), promptRequest())
		if err != nil {
			t.Fatal(err)
		}
		if o.Result != c.result || o.Fault != c.fault || o.ProblemOutcome != c.problemOutcome || o.RequestID != "r-1" {
			t.Errorf("%s: result %s, fault %s, problem outcome %q, id %q (%s)", c.name, o.Result, o.Fault, o.ProblemOutcome, o.RequestID, o.Detail)
		}
	}
}

func TestServiceRequestCarriesIdempotencyKey(t *testing.T) {
	r := &workload.Request{Class: workload.ClassService, Service: "order-app", Kind: "order", IdempotencyKey: "k", TimeLimit: time.Minute}
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, call *http.Request) {
		got = call.URL.Path + " " + call.Header.Get("Idempotency-Key")
	}))
	defer server.Close()
	o, err := send(t, strings.TrimPrefix(server.URL, "http://"), r)
	if err != nil || o.Result != Delivered {
		t.Fatalf("%v, %v", o.Result, err)
	}
	if got != "/v1/services/order-app/order k" {
		t.Fatalf("the service was called as %q", got)
	}
}

func TestSendReturnsErrNoConnectionForUnreachableHost(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if _, err := send(t, address, promptRequest()); !errors.Is(err, ErrNoConnection) {
		t.Fatalf("got %v", err)
	}
}

func TestLateCountsFromSendingInTimeFromArrival(t *testing.T) {
	r := &workload.Request{TimeLimit: time.Second}
	o := Outcome{Request: r, Sent: time.Second, End: 2*time.Second + time.Millisecond, Result: Delivered}
	if !o.Late(0) || o.Late(time.Millisecond) {
		t.Error("an answer 1 ms past the time limit must be late without an allowance and not with one of 1 ms")
	}
	if o.InTime() {
		t.Error("an answer 2 s after the intended arrival counts as in time with a limit of 1 s")
	}
}
