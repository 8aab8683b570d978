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

const tokens = 24

func token(hash uint64, i int) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(hash, "/", i))))
}

type chatBody struct {
	MaxTokens int `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// fakeRouter answers every prompt as serve says, which gets the prompt's hash.
func fakeRouter(t *testing.T, serve func(w http.ResponseWriter, hash uint64)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/services/") {
			_, _ = io.Copy(io.Discard, r.Body)
			serve(w, 0)
			return
		}
		var body chatBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.MaxTokens != tokens {
			t.Errorf("the body can't be read: %v", err)
		}
		w.Header().Set("X-Request-Id", "r-1")
		serve(w, xxhash.Sum64String(body.Messages[0].Content))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func send(t *testing.T, address string, r *workload.Request) (Outcome, error) {
	t.Helper()
	c := New("m", workload.NewTextPool(1), token)
	t.Cleanup(c.Close)
	return c.Send(context.Background(), Sending{Request: r, Address: address, Due: time.Now()})
}

func prompt() *workload.Request {
	return &workload.Request{
		Class: workload.ClassMedium, Kind: "thread", Organisation: "org-01",
		PromptTokens: 5_000, AnswerTokens: tokens, TextSeed: 7, TimeLimit: time.Minute,
	}
}

func piece(w io.Writer, text, finish string) {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", text, reason)
}

func pieces(w io.Writer, hash uint64, from, to int) {
	for i := from; i < to; i++ {
		finish := ""
		if i == tokens-1 {
			finish = "length"
		}
		piece(w, token(hash, i), finish)
	}
}

const notRunProblem = `{"code":"busy","outcome":"not_run","request_id":"r-1"}`

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(w http.ResponseWriter, hash uint64)
		result Result
		fault  answer.Fault
		told   string
	}{
		{"whole", func(w http.ResponseWriter, hash uint64) {
			pieces(w, hash, 0, tokens)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Delivered, answer.None, ""},
		{"another's", func(w http.ResponseWriter, hash uint64) {
			pieces(w, hash+1, 0, tokens)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Wrong, answer.Mixed, ""},
		{"gap", func(w http.ResponseWriter, hash uint64) {
			pieces(w, hash, 0, 5)
			pieces(w, hash, 6, tokens)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Wrong, answer.Gapped, ""},
		{"short but declared whole", func(w http.ResponseWriter, hash uint64) {
			pieces(w, hash, 0, tokens-2)
			piece(w, token(hash, tokens-2), "stop")
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, Wrong, answer.Truncated, ""},
		{"broken off", func(w http.ResponseWriter, hash uint64) { pieces(w, hash, 0, 5) }, Broken, answer.None, ""},
		{"failed on the way", func(w http.ResponseWriter, hash uint64) {
			pieces(w, hash, 0, 5)
			fmt.Fprintf(w, "event: error\ndata: {\"code\":\"lost\",\"outcome\":\"failed\"}\n\n")
		}, Failed, answer.None, ToldFailed},
		{"refused", func(w http.ResponseWriter, _ uint64) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, notRunProblem)
		}, Refused, answer.None, ToldNotRun},
		{"not_run after tokens is no refusal", func(w http.ResponseWriter, hash uint64) {
			pieces(w, hash, 0, 5)
			fmt.Fprintf(w, "event: error\ndata: %s\n\n", notRunProblem)
		}, Failed, answer.None, ToldNotRun},
		{"no document", func(w http.ResponseWriter, _ uint64) { w.WriteHeader(http.StatusBadGateway) }, Broken, answer.None, ""},
	}
	for _, c := range cases {
		o, err := send(t, fakeRouter(t, c.serve), prompt())
		if err != nil {
			t.Fatal(err)
		}
		if o.Result != c.result || o.Fault != c.fault || o.Told != c.told || o.RequestID != "r-1" {
			t.Errorf("%s: result %s, fault %s, told %q, id %q (%s)", c.name, o.Result, o.Fault, o.Told, o.RequestID, o.Detail)
		}
	}
}

func TestServiceCallCarriesItsKey(t *testing.T) {
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

func TestUnreachableHostIsLeftToTheBalancer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if _, err := send(t, address, prompt()); !errors.Is(err, ErrNoConnection) {
		t.Fatalf("got %v", err)
	}
}

func TestLateIsCountedFromTheSending(t *testing.T) {
	r := &workload.Request{TimeLimit: time.Second}
	o := Outcome{Request: r, Sent: time.Second, End: 2*time.Second + time.Millisecond, Result: Delivered}
	if !o.Late(0) || o.Late(time.Millisecond) {
		t.Error("an answer 1 ms past the limit is late only without an allowance")
	}
	if o.InTime() {
		t.Error("an answer 2 s after the intended arrival is in time within 1 s")
	}
}
