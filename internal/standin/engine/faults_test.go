package engine_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/engine"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

func injectFault(t *testing.T, e *engine.Engine, command fault.Command) {
	t.Helper()
	if err := e.InjectFault(command); err != nil {
		t.Fatal(err)
	}
}

// readTokens reads pieces until at least n tokens have arrived, and returns the
// number read.
func readTokens(t *testing.T, s api.Stream, n int) int {
	t.Helper()
	offset := 0
	for offset < n {
		p, err := s.Next()
		if err != nil {
			t.Fatal(err)
		}
		if p.Offset != offset {
			t.Fatalf("piece at %d, want %d", p.Offset, offset)
		}
		offset += p.Tokens
	}
	return offset
}

// TestResumeDeliversEveryTokenOnce guards against missing or repeated tokens
// when a stream is resumed after its connection went silent or was closed.
func TestResumeDeliversEveryTokenOnce(t *testing.T) {
	for _, kind := range []string{fault.Silent, fault.Cut} {
		t.Run(kind, func(t *testing.T) {
			e := startEngine(t, nil)
			c, ctx := newClient(t)
			r := newRequest(1, "thread", 300)
			s, err := c.Generate(ctx, e.Address(), r)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			offset := readTokens(t, s, 5)
			injectFault(t, e, fault.Command{Kind: kind})
			resumed, err := c.Resume(ctx, e.Address(), r.Work, offset)
			if err != nil {
				t.Fatal(err)
			}
			readAll(t, resumed, r, offset)
			if got := e.Counters(true); got.Core.HeldTokens != 0 || got.Runs[r.Work.Request] != 1 {
				t.Fatalf("counters %+v", got)
			}
		})
	}
}

func TestFinishedAnswerCanBeResumedForATime(t *testing.T) {
	e := startEngine(t, func(c *engine.Config) { c.Batch.KeepFinished = time.Minute })
	c, ctx := newClient(t)
	r := newRequest(1, "comment", 10)
	s, err := c.Generate(ctx, e.Address(), r)
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, s, r, 0)
	for offset := range r.MaxTokens + 1 {
		resumed, err := c.Resume(ctx, e.Address(), r.Work, offset)
		if err != nil {
			t.Fatal(err)
		}
		readAll(t, resumed, r, offset)
	}
	if _, err := c.Resume(ctx, e.Address(), api.WorkID{Request: "other", Attempt: 1}, 0); !errors.Is(err, api.ErrNoSuchWork) {
		t.Fatalf("got %v, want ErrNoWork", err)
	}
}

// TestMemoryStaysHeldWithoutAReaderUntilCancel checks that a broken connection
// does not end a work item, and that a cancel does, also if its answer is lost
// and it is repeated.
func TestMemoryStaysHeldWithoutAReaderUntilCancel(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	r := newRequest(1, "comment", 100_000)
	s, err := c.Generate(ctx, e.Address(), r)
	if err != nil {
		t.Fatal(err)
	}
	readTokens(t, s, 1)
	_ = s.Close()
	injectFault(t, e, fault.Command{Kind: fault.Cut})
	if held := e.Counters(false).Core.HeldTokens; held != 100_001 {
		t.Fatalf("%d tokens held, want 100001", held)
	}
	injectFault(t, e, fault.Command{Kind: fault.LoseAnswer, Path: api.PathCancel})
	if err := c.Cancel(ctx, e.Address(), r.Work); !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Fatalf("cancel with a lost answer: got %v, want ErrUnknown", err)
	}
	if err := c.Cancel(ctx, e.Address(), r.Work); err != nil {
		t.Fatal(err)
	}
	if held := e.Counters(false).Core.HeldTokens; held != 0 {
		t.Fatalf("%d tokens held after cancel", held)
	}
	if _, err := c.Generate(ctx, e.Address(), r); !errors.Is(err, api.ErrNotRun) {
		t.Fatalf("start after cancel: got %v, want ErrNotRun", err)
	}
}

func TestRefusalsAreNotRun(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	big := newRequest(1, "comment", 400_001)
	if _, err := c.Generate(ctx, e.Address(), big); !errors.Is(err, api.ErrNoMemory) || !errors.Is(err, api.ErrNotRun) {
		t.Fatalf("got %v, want ErrNoMemory and ErrNotRun", err)
	}
	foreign := newRequest(2, "comment", 1)
	foreign.Model = "judge@2"
	if _, err := c.Generate(ctx, e.Address(), foreign); !errors.Is(err, api.ErrNotRun) {
		t.Fatalf("got %v, want ErrNotRun", err)
	}
	twice := newRequest(3, "comment", 1000)
	s, err := c.Generate(ctx, e.Address(), twice)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := c.Generate(ctx, e.Address(), twice); !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Fatalf("duplicate: got %v, want ErrUnknown", err)
	}
}

// injectRandomFault injects at most one random fault and returns a context with
// a time limit for the request that follows.
func injectRandomFault(t *testing.T, e *engine.Engine, ctx context.Context, random *rand.Rand) (context.Context, context.CancelFunc) {
	t.Helper()
	switch random.IntN(8) {
	case 0:
		injectFault(t, e, fault.Command{Kind: fault.LoseAnswer, Path: api.PathGenerate})
	case 1:
		injectFault(t, e, fault.Command{Kind: fault.Drop, Path: api.PathGenerate})
	case 2:
		injectFault(t, e, fault.Command{Kind: fault.RefuseMemory, ForMillis: 20})
	case 3:
		injectFault(t, e, fault.Command{Kind: fault.Die, ForMillis: 2})
	case 4:
		time.AfterFunc(time.Duration(random.IntN(1000))*time.Microsecond, func() { _ = e.InjectFault(fault.Command{Kind: fault.Cut}) })
	case 5:
		injectFault(t, e, fault.Command{Kind: fault.Silent})
		return context.WithTimeout(ctx, 20*time.Millisecond)
	case 6:
		return context.WithTimeout(ctx, time.Duration(random.IntN(1500))*time.Microsecond)
	}
	return context.WithTimeout(ctx, 200*time.Millisecond)
}

// TestRequestsReportedNotRunDidNotRun guards against a request that is reported
// as not run although the engine ran it, since a caller would then run it twice.
// It sends requests through random faults and compares each result with the
// engine's own count. The naive rule that a request without an answer was not
// run must fail the same check, which shows that the check detects the fault.
func TestRequestsReportedNotRunDidNotRun(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	random := rand.New(rand.NewPCG(7, 7))
	notRun, naiveRuleWrong := 0, 0
	var reportedNotRun []string
	for i := range 400 {
		r := newRequest(i, strings.Repeat("word", random.IntN(20_000)+1), 1)
		for _, err := c.Status(ctx, e.Address()); err != nil && ctx.Err() == nil; {
			_, err = c.Status(ctx, e.Address())
		}
		limited, cancel := injectRandomFault(t, e, ctx, random)
		s, err := c.Generate(limited, e.Address(), r)
		if err == nil {
			_ = s.Close()
		}
		cancel()
		if errors.Is(err, api.ErrNotRun) {
			notRun++
			reportedNotRun = append(reportedNotRun, r.Work.Request)
		} else if err != nil && e.RunsOfRequest(r.Work.Request) > 0 {
			naiveRuleWrong++
		}
	}
	_ = e.InjectFault(fault.Command{Kind: fault.Clear})
	for _, id := range reportedNotRun {
		if n := e.RunsOfRequest(id); n != 0 {
			t.Errorf("%s was reported as not run and ran %d times", id, n)
		}
	}
	if notRun == 0 || naiveRuleWrong == 0 {
		t.Fatalf("%d not run, naive rule wrong %d times; the check detects nothing unless both are above 0", notRun, naiveRuleWrong)
	}
	t.Logf("%d of 400 not run, naive rule wrong %d times", notRun, naiveRuleWrong)
}

func TestFreezeDelaysAnswerWithoutLoss(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	r := newRequest(1, "comment", 50)
	s, err := c.Generate(ctx, e.Address(), r)
	if err != nil {
		t.Fatal(err)
	}
	injectFault(t, e, fault.Command{Kind: fault.Freeze, ForMillis: 50})
	readAll(t, s, r, 0)
}

// TestDeathLosesAllState guards against a restarted engine that still holds
// memory or knows work from before its death.
func TestDeathLosesAllState(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	r := newRequest(1, "comment", 100_000)
	s, err := c.Generate(ctx, e.Address(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	injectFault(t, e, fault.Command{Kind: fault.Die, ForMillis: 1})
	for err == nil {
		_, err = s.Next()
	}
	if !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrUnknown", err)
	}
	for {
		if _, err = c.Resume(ctx, e.Address(), r.Work, 0); errors.Is(err, api.ErrNoSuchWork) {
			break
		}
		if !errors.Is(err, api.ErrNotRun) && !errors.Is(err, api.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want ErrNoSuchWork once the engine has restarted", err)
		}
	}
	if held := e.Counters(false).Core.HeldTokens; held != 0 {
		t.Fatalf("%d tokens held after death", held)
	}
}

func TestStaleOrderIsRefusedOnlyIfFencingIsChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, func(c *engine.Config) { c.ChecksFencing, c.ModelLoadTime = checks, 0 })
		c, ctx := newClient(t)
		newerOrder := api.Order{ID: "a", Fencing: 5, Load: []string{"judge@2"}}
		for range 2 {
			if err := c.Order(ctx, e.Address(), newerOrder); err != nil {
				t.Fatal(err)
			}
		}
		err := c.Order(ctx, e.Address(), api.Order{ID: "b", Fencing: 4, Unload: []string{"judge@2"}})
		if errors.Is(err, api.ErrFenced) != checks {
			t.Fatalf("checks fencing %v: order with an older fencing number got %v", checks, err)
		}
		status, err := c.Status(ctx, e.Address())
		if err != nil || (len(status.Models) == 2) != checks {
			t.Fatalf("checks fencing %v: status %+v, %v", checks, status, err)
		}
		got := e.Counters(false)
		if got.OrdersDuplicate != 1 || (got.OrdersStale == 0) != checks || (got.OrdersFenced == 1) != checks {
			t.Fatalf("checks fencing %v: %+v", checks, got)
		}
	}
}

// TestCancelAfterFreezeReleasesLateWork guards against memory that stays held
// after a freeze: the client gives up on a frozen engine, and the engine accepts
// the request only after it resumes. The cancel that follows must release that
// work item.
func TestCancelAfterFreezeReleasesLateWork(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	for i := range 20 {
		injectFault(t, e, fault.Command{Kind: fault.Freeze, ForMillis: 30})
		r := newRequest(i, "comment", 100_000)
		limited, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
		_, err := c.Generate(limited, e.Address(), r)
		cancel()
		if !errors.Is(err, api.ErrOutcomeUnknown) && !errors.Is(err, api.ErrNotRun) {
			t.Fatalf("got %v from a frozen engine", err)
		}
		if err := c.Cancel(ctx, e.Address(), r.Work); err != nil {
			t.Fatal(err)
		}
	}
	if held := e.Counters(false).Core.HeldTokens; held != 0 {
		t.Fatalf("%d tokens held after all were cancelled", held)
	}
}

func TestSequenceNumbersIncreaseAcrossRestart(t *testing.T) {
	e := startEngine(t, func(c *engine.Config) { c.Batch.EventDelay, c.Batch.EventLoss = 0, 0 })
	c, ctx := newClient(t)
	var lastReport, lastEvent uint64
	for i := range 3 {
		r := newRequest(i, strings.Repeat("word", 600), 1)
		s, err := c.Generate(ctx, e.Address(), r)
		if err != nil {
			t.Fatal(err)
		}
		readAll(t, s, r, 0)
		load, err := c.Load(ctx, e.Address())
		if err != nil || load.Sequence <= lastReport {
			t.Fatalf("report sequence number %d after %d, error %v", load.Sequence, lastReport, err)
		}
		events, err := c.CacheEvents(ctx, e.Address(), lastEvent+1)
		if err != nil || len(events.Events) != 1 || events.Events[0].Prefix != api.PrefixHashes(r.Prompt, 0)[0] {
			t.Fatalf("events %+v, %v", events, err)
		}
		lastReport, lastEvent = load.Sequence, events.Events[0].Sequence
		injectFault(t, e, fault.Command{Kind: fault.Die, ForMillis: 1})
		for err == nil {
			_, err = c.Resume(ctx, e.Address(), r.Work, 0)
		}
		for !errors.Is(err, api.ErrNoSuchWork) && ctx.Err() == nil {
			_, err = c.Resume(ctx, e.Address(), r.Work, 0)
		}
	}
}

func TestFailedWorkReturnsErrorAndReleasesMemory(t *testing.T) {
	e := startEngine(t, nil)
	c, ctx := newClient(t)
	s, err := c.Generate(ctx, e.Address(), newRequest(1, "comment", 100_000))
	if err != nil {
		t.Fatal(err)
	}
	readTokens(t, s, 1)
	injectFault(t, e, fault.Command{Kind: fault.Fail})
	if _, err := readToEnd(s); !errors.Is(err, api.ErrFailed) {
		t.Fatalf("got %v, want ErrFailed", err)
	}
	if held := e.Counters(false).Core.HeldTokens; held != 0 {
		t.Fatalf("%d tokens held by a failed work item", held)
	}
}
