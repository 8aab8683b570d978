package service_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"

	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	api "github.com/chestnutline/chestnutline/internal/service"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
	"github.com/chestnutline/chestnutline/internal/standin/service"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func startService(t *testing.T) (*service.Service, *api.HTTPClient, context.Context) {
	t.Helper()
	config := service.DefaultConfig()
	config.Service, config.Scale = "order-app", 20
	s, err := service.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	c := api.NewHTTPClient(httpcall.DefaultConfig())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		c.Close()
		s.Close()
	})
	return s, c, ctx
}

// newCall returns the first attempt of a call; its ids and body contain i.
func newCall(i int, kind string) api.Call {
	id := strconv.Itoa(i)
	return api.Call{
		Work: engine.WorkID{Request: "request-" + id, Attempt: 1}, Kind: kind,
		IdempotencyKey: "key-" + id, Body: []byte("oats " + id),
	}
}

func injectFault(t *testing.T, s *service.Service, command fault.Command) {
	t.Helper()
	if err := s.InjectFault(command); err != nil {
		t.Fatal(err)
	}
}

func TestCallIsAnsweredAndRepetitionIsCounted(t *testing.T) {
	s, c, ctx := startService(t)
	sent := newCall(1, "order")
	got, err := c.Call(ctx, s.Address(), sent)
	if err != nil {
		t.Fatal(err)
	}
	var receipt service.Receipt
	if err := json.Unmarshal(got.Body, &receipt); err != nil {
		t.Fatal(err)
	}
	want := service.Receipt{Service: "order-app", Kind: "order", Request: "request-1", BodyHash: xxhash.Sum64(sent.Body)}
	if receipt != want || got.Status != 200 {
		t.Fatalf("got %+v, want %+v", receipt, want)
	}
	if _, err := c.Call(ctx, s.Address(), sent); err != nil {
		t.Fatal(err)
	}
	if s.RunsOfKey("key-1") != 2 || s.Counters(true).RepeatedKeys != 1 {
		t.Fatalf("a repeated action is missing from the counters: %+v", s.Counters(true))
	}
	if _, err := c.Call(ctx, s.Address(), newCall(2, "sanction")); !errors.Is(err, api.ErrNotRun) {
		t.Fatalf("unknown kind: got %v, want ErrNotRun", err)
	}
}

func TestStatusAnnouncesLeavingAndLateCallsAreCounted(t *testing.T) {
	s, c, ctx := startService(t)
	injectFault(t, s, fault.Command{Kind: fault.Leaving})
	status, err := c.Status(ctx, s.Address())
	if err != nil || !status.Leaving {
		t.Fatalf("status %+v, %v", status, err)
	}
	if _, err := c.Call(ctx, s.Address(), newCall(1, "stock")); err != nil {
		t.Fatal(err)
	}
	if got := s.Counters(false); got.LateWork != 1 {
		t.Fatalf("counters %+v", got)
	}
}

// TestCallsReportedNotRunDidNotRun guards against a call that is reported as not
// run although the service ran it, since a caller would then run it twice. It
// sends every call once through random faults, so none may run twice, and
// compares each result with the service's own count. The naive rule that a call
// without an answer was not run must fail the same check, which shows that the
// check detects the fault.
func TestCallsReportedNotRunDidNotRun(t *testing.T) {
	s, c, ctx := startService(t)
	random := rand.New(rand.NewPCG(11, 11))
	notRun, naiveRuleWrong := 0, 0
	outcomes := make([]error, 300)
	for i := range outcomes {
		for _, err := c.Status(ctx, s.Address()); err != nil && ctx.Err() == nil; {
			_, err = c.Status(ctx, s.Address())
		}
		timeLimit := testTimeout
		switch random.IntN(7) {
		case 0:
			injectFault(t, s, fault.Command{Kind: fault.LoseAnswer, Path: api.PathCallPrefix})
		case 1:
			injectFault(t, s, fault.Command{Kind: fault.Drop, Path: api.PathCallPrefix})
		case 2:
			injectFault(t, s, fault.Command{Kind: fault.Die, ForMillis: 20})
			// On a busy machine the service may be back before a poll sees it dead.
			polls := 20 * random.IntN(2)
			for ; polls > 0 && s.Counters(false).Alive; polls-- {
				time.Sleep(time.Millisecond)
			}
		case 3:
			time.AfterFunc(time.Duration(random.IntN(3000))*time.Microsecond, func() { _ = s.InjectFault(fault.Command{Kind: fault.Cut}) })
		case 4:
			injectFault(t, s, fault.Command{Kind: fault.Silent})
			timeLimit = 20 * time.Millisecond
		case 5:
			timeLimit = time.Duration(random.IntN(3000)) * time.Microsecond
		}
		limited, cancel := context.WithTimeout(ctx, timeLimit)
		_, outcomes[i] = c.Call(limited, s.Address(), newCall(i, "order"))
		cancel()
	}
	for i, err := range outcomes {
		runs := s.RunsOfRequest("request-" + strconv.Itoa(i))
		switch {
		case runs > 1:
			t.Errorf("call %d was sent once and ran %d times", i, runs)
		case err == nil && runs != 1:
			t.Errorf("call %d was answered and ran %d times", i, runs)
		case errors.Is(err, api.ErrNotRun):
			notRun++
			if runs != 0 {
				t.Errorf("call %d was reported as not run and ran", i)
			}
		case err != nil && runs == 1:
			naiveRuleWrong++
		}
	}
	if notRun == 0 || naiveRuleWrong == 0 {
		t.Fatalf("%d not run, naive rule wrong %d times; the check detects nothing unless both are above 0", notRun, naiveRuleWrong)
	}
	t.Logf("%d of %d not run, naive rule wrong %d times", notRun, len(outcomes), naiveRuleWrong)
}

func TestFailedCallReturnsErrorAfterRunning(t *testing.T) {
	s, c, ctx := startService(t)
	injectFault(t, s, fault.Command{Kind: fault.Fail})
	answer, err := c.Call(ctx, s.Address(), newCall(1, "order"))
	if !errors.Is(err, api.ErrFailed) || answer.Status != 500 || s.RunsOfRequest("request-1") != 1 {
		t.Fatalf("got %+v, %v", answer, err)
	}
}
