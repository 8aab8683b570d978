package engine_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/standin/answer"
	"github.com/chestnutline/chestnutline/internal/standin/engine"
)

const testTimeout = 30 * time.Second

func startEngine(t *testing.T, change func(*engine.Config)) *engine.Engine {
	t.Helper()
	config := engine.DefaultConfig()
	config.Models = []string{"judge@1"}
	config.Scale = 20
	if change != nil {
		change(&config)
	}
	e, err := engine.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func newClient(t *testing.T) (*api.HTTPClient, context.Context) {
	t.Helper()
	c := api.NewHTTPClient(httpcall.DefaultConfig())
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return c, ctx
}

// newRequest returns the first attempt of a request; its id contains n.
func newRequest(n int, prompt string, maxTokens int) api.Request {
	return api.Request{
		Work:  api.WorkID{Request: "request-" + strconv.Itoa(n), Attempt: 1},
		Owner: api.Owner{Host: "host-1", Incarnation: 1}, Model: "judge@1", Prompt: prompt,
		PromptTokens: max(1, len(prompt)/api.BytesPerToken), MaxTokens: maxTokens,
		Deadline: time.Now().Add(time.Minute),
	}
}

// readAll reads a stream to its end and checks the work id, the offset and the
// text of every piece, and the total number of tokens.
func readAll(t *testing.T, s api.Stream, r api.Request, offset int) {
	t.Helper()
	defer s.Close()
	hash := answer.PromptHash(r.Prompt)
	for {
		p, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if p.Work != r.Work || p.Offset != offset || !answer.Matches(hash, offset, p.Text) {
			t.Fatalf("at token %d got piece %+v", offset, p)
		}
		offset += p.Tokens
	}
	if offset != r.MaxTokens {
		t.Fatalf("answer has %d tokens, want %d", offset, r.MaxTokens)
	}
}

func TestGenerateDeliversTheWholeAnswer(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	r := newRequest(1, "is this comment \"fine\"?\n"+strings.Repeat("long ", 5000), 40)
	s, err := c.Generate(ctx, e.Address(), r)
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, s, r, 0)
	if got := e.Counters(true); got.Core.HeldTokens != 0 || got.Runs[r.Work.Request] != 1 {
		t.Fatalf("counters after the answer: %+v", got)
	}
}

func TestGroupDeliversWholeAnswerAndReleasesMemory(t *testing.T) {
	var group []string
	var members []*engine.Engine
	for range 3 {
		e := startEngine(t, nil)
		members = append(members, e)
		group = append(group, e.Address())
	}
	c, ctx := newClient(t)
	r := newRequest(2, strings.Repeat("book", 900_000), 20)
	r.Group = group
	for _, address := range group {
		err := c.Reserve(ctx, address, api.Reservation{Work: r.Work, Owner: r.Owner, Tokens: engine.ShareTokens(r.PromptTokens, 3) + r.MaxTokens})
		if err != nil {
			t.Fatal(err)
		}
	}
	s, err := c.Generate(ctx, group[0], r)
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, s, r, 0)
	for _, e := range members {
		if err := c.Cancel(ctx, e.Address(), r.Work); err != nil {
			t.Fatal(err)
		}
		if held := e.Counters(false).Core.HeldTokens; held != 0 {
			t.Fatalf("%s holds %d tokens", e.Name(), held)
		}
	}
}

// TestContinuedAnswerIsComplete checks answers that continue a text delivered by
// an earlier attempt, and that a text which does not belong to the prompt is
// counted.
func TestContinuedAnswerIsComplete(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	for offset := 1; offset < 10; offset++ {
		r := newRequest(offset, "thread", 10)
		r.Offset, r.DeliveredText = offset, string(answer.AppendTokens(nil, answer.PromptHash(r.Prompt), 0, offset))
		s, err := c.Generate(ctx, e.Address(), r)
		if err != nil {
			t.Fatal(err)
		}
		readAll(t, s, r, offset)
		if got := e.Counters(false); got.ForeignText != 0 || got.Core.HeldTokens != 0 {
			t.Fatalf("counters %+v", got)
		}
	}
	wrong := newRequest(10, "thread", 10)
	wrong.Offset, wrong.DeliveredText = 1, "none"
	s, err := c.Generate(ctx, e.Address(), wrong)
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, s, wrong, 1)
	if got := e.Counters(false); got.ForeignText != 1 {
		t.Fatal("a continuation of foreign text was not counted in ForeignText")
	}
}

// TestConnectionsAreReused guards against a server that leaves connections
// unusable after a stream. It closes each stream right after its last piece, as
// the router does.
func TestConnectionsAreReused(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	for i := range 20 {
		s, err := c.Generate(ctx, e.Address(), newRequest(i, "comment", 3))
		if err != nil {
			t.Fatal(err)
		}
		for finish := ""; finish == ""; {
			p, err := s.Next()
			if err != nil {
				t.Fatal(err)
			}
			finish = p.Finish
		}
		_ = s.Close()
	}
	if n := e.Counters(false).Connections; n > 4 {
		t.Fatalf("%d connections for 20 consecutive requests, want at most 4", n)
	}
}
