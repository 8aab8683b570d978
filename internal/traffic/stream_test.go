package traffic

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

// rapidSeed makes all runs generate the same cases; the flag -rapid.seed selects
// others.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// answerTokens is the number of tokens of the complete answer.
const answerTokens = 40

// tokenText returns the text of the answer's token i.
func tokenText(i int) string { return fmt.Sprintf("%03d ", i) }

// wholeAnswer returns the text of the complete answer.
func wholeAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

// faultyEngine is an engine client whose answers contain pieces of other
// requests, pieces of earlier attempts, repeated pieces, missing pieces and early
// ends, each with the probability faultProbability.
type faultyEngine struct {
	engine.Client
	mu               sync.Mutex
	random           *rand.Rand
	faultProbability float64
	resumeError      error
}

// injectFault reports whether the next possible fault occurs.
func (f *faultyEngine) injectFault() bool { return f.random.Float64() < f.faultProbability }

func (f *faultyEngine) Generate(_ context.Context, _ string, r engine.Request) (engine.Stream, error) {
	return f.stream(r.Work, r.Offset)
}

func (f *faultyEngine) Resume(_ context.Context, _ string, work engine.WorkID, offset int) (engine.Stream, error) {
	if f.resumeError != nil {
		return nil, f.resumeError
	}
	return f.stream(work, offset)
}

// stream returns the answer from the token offset on, with random faults.
func (f *faultyEngine) stream(work engine.WorkID, offset int) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.injectFault() {
		return nil, errors.Wrap(engine.ErrOutcomeUnknown, "no answer")
	}
	s := &scriptedStream{}
	for i := offset; i < answerTokens; i++ {
		p := engine.Piece{Work: work, Offset: i, Tokens: 1, Text: tokenText(i)}
		if i == answerTokens-1 {
			p.Finish = finishLength
		}
		f.appendWithFaults(s, p)
	}
	return s, nil
}

// appendWithFaults appends a piece, with random faults: a piece of another
// request or an earlier attempt before it, the piece left out or repeated, or the
// stream ended after it.
func (f *faultyEngine) appendWithFaults(s *scriptedStream, p engine.Piece) {
	if f.injectFault() {
		otherRequest := p
		otherRequest.Work.Request = "another"
		otherRequest.Text = "XXXX"
		s.pieces = append(s.pieces, otherRequest)
	}
	if f.injectFault() {
		earlierAttempt := p
		earlierAttempt.Work.Attempt--
		earlierAttempt.Text = "LATE"
		s.pieces = append(s.pieces, earlierAttempt)
	}
	if f.injectFault() && p.Finish == "" {
		return
	}
	s.pieces = append(s.pieces, p)
	if f.injectFault() {
		s.pieces = append(s.pieces, p)
	}
	if f.injectFault() && len(s.pieces) > 2 {
		s.endAt = len(s.pieces)
	}
}

// scriptedStream is a stream that returns a fixed list of pieces.
type scriptedStream struct {
	pieces []engine.Piece
	next   int
	// endAt is the number of pieces after which the stream ends early; 0 means
	// never.
	endAt int
}

func (s *scriptedStream) Next() (engine.Piece, error) {
	if s.next == len(s.pieces) || (s.endAt > 0 && s.next == s.endAt) {
		return engine.Piece{}, io.EOF
	}
	s.next++
	return s.pieces[s.next-1], nil
}

func (s *scriptedStream) Close() error { return nil }

// harness runs one exchange against an engine and acts as its control thread.
type harness struct {
	executor    *Executor
	exchange    *Exchange
	events      chan dispatch.Event
	callerTexts chan string
}

func newHarness(client engine.Client, silenceTimeout time.Duration) *harness {
	h := &harness{events: make(chan dispatch.Event, 64), callerTexts: make(chan string, 1)}
	cfg := Config{SilenceTimeout: silenceTimeout, ControlTimeout: time.Second, Metrics: telemetry.New()}
	h.executor = NewExecutor(cfg, clock.Start(), client, nil, nil, func(e dispatch.Event) { h.events <- e })
	h.exchange = NewExchange(context.Background(), "r1", time.Now().Add(time.Minute))
	h.exchange.Request = &engine.Request{Model: "m@1", Prompt: "p", PromptTokens: 1, MaxTokens: answerTokens}
	h.executor.Register(h.exchange)
	go h.readAsCaller()
	return h
}

// readAsCaller collects the text that a caller receives.
func (h *harness) readAsCaller() {
	var text strings.Builder
	for {
		select {
		case p := <-h.exchange.Pieces():
			text.WriteString(p.Text)
		case <-h.exchange.FinalResult():
			for len(h.exchange.Pieces()) > 0 {
				text.WriteString((<-h.exchange.Pieces()).Text)
			}
			h.callerTexts <- text.String()
			return
		}
	}
}

func sendEffect(attempt uint32) dispatch.Send {
	return dispatch.Send{ID: "r1", Attempt: attempt, Group: []dispatch.Member{{Address: "e:1"}}, FirstTokenTimeout: time.Minute}
}

// runToEnd sends the request and reacts to the events as the dispatch core would:
// it resumes stalled attempts and repeats failed ones until the request is
// finished. It returns the text that the caller received.
func (h *harness) runToEnd() string {
	attempt := uint32(1)
	h.executor.Execute(sendEffect(attempt))
	for e := range h.events {
		switch e.(type) {
		case dispatch.Finished:
			h.executor.Execute(dispatch.Done{ID: "r1"})
			return <-h.callerTexts
		case dispatch.Stalled:
			h.executor.Execute(dispatch.Resume{ID: "r1", Attempt: attempt, Address: "e:1"})
		case dispatch.AttemptFailed:
			h.executor.Execute(dispatch.Drop{ID: "r1", Attempt: attempt})
			attempt++
			h.executor.Execute(sendEffect(attempt))
		}
	}
	return ""
}

// TestCallerGetsExactlyItsAnswerDespiteFaults runs an exchange with random faults
// of the engine. The caller must receive exactly its own answer, without a gap or
// a repetition.
func TestCallerGetsExactlyItsAnswerDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faultProbability := rapid.Float64Range(0, 0.2).Draw(t, "chaos")
		h := newHarness(&faultyEngine{random: rand.New(rand.NewPCG(seed, 1)), faultProbability: faultProbability}, time.Minute)
		if got := h.runToEnd(); got != wholeAnswer() {
			t.Fatalf("seed %d: got %q", seed, got)
		}
	})
}

// TestReaderWithoutChecksCorruptsAnswer shows that the faults of faultyEngine
// corrupt the answer for a reader that accepts every piece as it comes.
func TestReaderWithoutChecksCorruptsAnswer(t *testing.T) {
	f := &faultyEngine{random: rand.New(rand.NewPCG(7, 1)), faultProbability: 0.1}
	var text strings.Builder
	for text.Len() < len(wholeAnswer()) {
		s, err := f.stream(engine.WorkID{Request: "r1", Attempt: 1}, text.Len()/len(tokenText(0)))
		if err != nil {
			continue
		}
		for p, err := s.Next(); err == nil; p, err = s.Next() {
			text.WriteString(p.Text)
		}
	}
	if text.String() == wholeAnswer() {
		t.Fatal("the faults did not corrupt the answer")
	}
}

// silentEngine opens streams on which no data ever arrives, except for resumed
// streams.
type silentEngine struct{ faultyEngine }

func (s *silentEngine) Generate(ctx context.Context, _ string, _ engine.Request) (engine.Stream, error) {
	return &silentStream{ctx: ctx}, nil
}

// silentStream is a stream that returns no piece until its context ends.
type silentStream struct{ ctx context.Context }

func (s *silentStream) Next() (engine.Piece, error) {
	<-s.ctx.Done()
	return engine.Piece{}, errors.Wrap(engine.ErrOutcomeUnknown, "connection given up")
}

func (s *silentStream) Close() error { return nil }

// TestSilentStreamIsResumedOnNewConnection checks that an open connection that
// has become silent for good does not block the answer.
func TestSilentStreamIsResumedOnNewConnection(t *testing.T) {
	client := &silentEngine{faultyEngine{random: rand.New(rand.NewPCG(1, 1))}}
	h := newHarness(client, 20*time.Millisecond)
	f := sendEffect(1)
	f.FirstTokenTimeout = 20 * time.Millisecond
	h.executor.Execute(f)
	if e, ok := (<-h.events).(dispatch.Stalled); !ok {
		t.Fatalf("got %+v, expected Stalled", e)
	}
	h.executor.Execute(dispatch.Resume{ID: "r1", Attempt: 1, Address: "e:1"})
	for e := range h.events {
		if _, ok := e.(dispatch.Finished); ok {
			break
		}
	}
	h.executor.Execute(dispatch.Done{ID: "r1"})
	if got := <-h.callerTexts; got != wholeAnswer() {
		t.Fatalf("got %q", got)
	}
}

// TestRefusedResumeReportsUnknownOutcome checks that an engine's refusal to
// resume an attempt is not taken as proof that the attempt did not run: it ran
// before its connection broke.
func TestRefusedResumeReportsUnknownOutcome(t *testing.T) {
	client := &faultyEngine{random: rand.New(rand.NewPCG(1, 1)), resumeError: errors.Wrap(engine.ErrNotRun, "connection refused")}
	h := newHarness(client, time.Minute)
	h.executor.Execute(dispatch.Resume{ID: "r1", Attempt: 1, Address: "e:1"})
	e, ok := (<-h.events).(dispatch.AttemptFailed)
	if !ok || e.FailureClass != dispatch.FailureOutcomeUnknown {
		t.Fatalf("got %+v, expected an attempt with an unknown outcome", e)
	}
}
