package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"go.uber.org/goleak"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/engine"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startGroup starts three engines and reserves memory on them for a long prompt.
func startGroup(ctx context.Context, t *testing.T, c *api.HTTPClient) ([]*engine.Engine, api.Request) {
	t.Helper()
	r := newRequest(1, strings.Repeat("book", 600_000), 100_000)
	members := make([]*engine.Engine, 3)
	for i := range members {
		members[i] = startEngine(t, nil)
		r.Group = append(r.Group, members[i].Address())
	}
	for i, address := range r.Group {
		tokens := engine.ShareTokens(r.PromptTokens, len(r.Group))
		if i == 0 {
			tokens += r.MaxTokens
		}
		if err := c.Reserve(ctx, address, api.Reservation{Work: r.Work, Owner: r.Owner, Tokens: tokens}); err != nil {
			t.Fatal(err)
		}
	}
	return members, r
}

// readToEnd reads a stream to its end and returns the finish reason of the last
// piece and the error that ended the stream.
func readToEnd(s api.Stream) (finish string, err error) {
	defer s.Close()
	for {
		p, err := s.Next()
		if err != nil {
			return finish, err
		}
		finish = p.Finish
	}
}

// TestGroupReleasesAllMemory guards against memory that stays held on a member
// of a group. It ends the work of a group by the death or the cancel of the
// leader or of a member, before and during decoding, sends the cancels that
// hosts send at the end, and checks the memory of every member.
func TestGroupReleasesAllMemory(t *testing.T) {
	die := func(i int) func(*testing.T, context.Context, *api.HTTPClient, []*engine.Engine, api.Request) {
		return func(t *testing.T, _ context.Context, _ *api.HTTPClient, members []*engine.Engine, _ api.Request) {
			injectFault(t, members[i], fault.Command{Kind: fault.Die, ForMillis: 1})
		}
	}
	cancel := func(i int) func(*testing.T, context.Context, *api.HTTPClient, []*engine.Engine, api.Request) {
		return func(t *testing.T, ctx context.Context, c *api.HTTPClient, members []*engine.Engine, r api.Request) {
			if err := c.Cancel(ctx, members[i].Address(), r.Work); err != nil {
				t.Fatal(err)
			}
		}
	}
	cases := []struct {
		name   string
		finish string
		err    error
		act    func(*testing.T, context.Context, *api.HTTPClient, []*engine.Engine, api.Request)
	}{
		{"leader dies", "", api.ErrOutcomeUnknown, die(0)},
		{"member dies", "", api.ErrFailed, die(1)},
		{"leader is cancelled", api.FinishCancelled, io.EOF, cancel(0)},
		{"member is cancelled", "", api.ErrFailed, cancel(2)},
	}
	for _, testCase := range cases {
		for _, decoding := range []bool{false, true} {
			t.Run(testCase.name, func(t *testing.T) {
				c, ctx := newClient(t)
				members, r := startGroup(ctx, t, c)
				s, err := c.Generate(ctx, r.Group[0], r)
				if err != nil {
					t.Fatal(err)
				}
				if decoding {
					readTokens(t, s, 1)
				}
				testCase.act(t, ctx, c, members, r)
				if finish, err := readToEnd(s); !errors.Is(err, testCase.err) || finish != testCase.finish {
					t.Fatalf("stream ended with %q, %v", finish, err)
				}
				cancelEverywhere(ctx, t, c, members, r)
			})
		}
	}
}

// cancelEverywhere cancels at each member until that succeeds, as a host does at
// the end of a group, and checks that no memory is held.
func cancelEverywhere(ctx context.Context, t *testing.T, c *api.HTTPClient, members []*engine.Engine, r api.Request) {
	t.Helper()
	for _, e := range members {
		for c.Cancel(ctx, e.Address(), r.Work) != nil {
			if ctx.Err() != nil {
				t.Fatal("cancel did not succeed in time")
			}
		}
		if held := e.Counters(false).Core.HeldTokens; held != 0 {
			t.Fatalf("%s holds %d tokens", e.Address(), held)
		}
	}
}

func TestGroupWithoutReservationFails(t *testing.T) {
	c, ctx := newClient(t)
	members, r := startGroup(ctx, t, c)
	if err := c.Cancel(ctx, members[2].Address(), r.Work); err != nil {
		t.Fatal(err)
	}
	s, err := c.Generate(ctx, r.Group[0], r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readToEnd(s); !errors.Is(err, api.ErrFailed) {
		t.Fatalf("got %v, want ErrFailed", err)
	}
	cancelEverywhere(ctx, t, c, members, r)
}
