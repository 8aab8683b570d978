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

// rapidSeed makes generated runs the same every time; set -rapid.seed for others.
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

const answerTokens = 40

func token(i int) string { return fmt.Sprintf("%03d ", i) }

func wholeAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(token(i))
	}
	return b.String()
}

// faultyEngine serves answers with crossed, late, repeated, missing and cut pieces.
type faultyEngine struct {
	engine.Client
	mu     sync.Mutex
	rng    *rand.Rand
	chaos  float64
	resume error
}

func (f *faultyEngine) wrong() bool { return f.rng.Float64() < f.chaos }

func (f *faultyEngine) Generate(_ context.Context, _ string, r engine.Request) (engine.Stream, error) {
	return f.stream(r.Work, r.Offset)
}

func (f *faultyEngine) Resume(_ context.Context, _ string, work engine.WorkID, offset int) (engine.Stream, error) {
	if f.resume != nil {
		return nil, f.resume
	}
	return f.stream(work, offset)
}

func (f *faultyEngine) stream(work engine.WorkID, offset int) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wrong() {
		return nil, errors.Wrap(engine.ErrOutcomeUnknown, "no answer")
	}
	s := &script{}
	for i := offset; i < answerTokens; i++ {
		p := engine.Piece{Work: work, Offset: i, Tokens: 1, Text: token(i)}
		if i == answerTokens-1 {
			p.Finish = finishLength
		}
		f.mangle(s, p)
	}
	return s, nil
}

// mangle appends a piece and perhaps others that do not belong there.
func (f *faultyEngine) mangle(s *script, p engine.Piece) {
	if f.wrong() {
		crossed := p
		crossed.Work.Request = "another"
		crossed.Text = "XXXX"
		s.pieces = append(s.pieces, crossed)
	}
	if f.wrong() {
		late := p
		late.Work.Attempt--
		late.Text = "LATE"
		s.pieces = append(s.pieces, late)
	}
	if f.wrong() && p.Finish == "" {
		return
	}
	s.pieces = append(s.pieces, p)
	if f.wrong() {
		s.pieces = append(s.pieces, p)
	}
	if f.wrong() && len(s.pieces) > 2 {
		s.cut = len(s.pieces)
	}
}

// script is a stream whose pieces are fixed.
type script struct {
	pieces []engine.Piece
	next   int
	// cut ends the stream early; 0 is never.
	cut int
}

func (s *script) Next() (engine.Piece, error) {
	if s.next == len(s.pieces) || (s.cut > 0 && s.next == s.cut) {
		return engine.Piece{}, io.EOF
	}
	s.next++
	return s.pieces[s.next-1], nil
}

func (s *script) Close() error { return nil }

// bench runs one exchange against an engine, as the control thread would.
type bench struct {
	executor *Executor
	exchange *Exchange
	events   chan dispatch.Event
	texts    chan string
}

func newBench(client engine.Client, silence time.Duration) *bench {
	b := &bench{events: make(chan dispatch.Event, 64), texts: make(chan string, 1)}
	cfg := Config{SilenceTimeout: silence, ControlTimeout: time.Second, Metrics: telemetry.New()}
	b.executor = NewExecutor(cfg, clock.Start(), client, nil, nil, func(e dispatch.Event) { b.events <- e })
	b.exchange = NewExchange(context.Background(), "r1", time.Now().Add(time.Minute))
	b.exchange.Request = &engine.Request{Model: "m@1", Prompt: "p", PromptTokens: 1, MaxTokens: answerTokens}
	b.executor.Register(b.exchange)
	go b.read()
	return b
}

// read collects what a caller gets.
func (b *bench) read() {
	var text strings.Builder
	for {
		select {
		case p := <-b.exchange.Pieces():
			text.WriteString(p.Text)
		case <-b.exchange.FinalResult():
			for len(b.exchange.Pieces()) > 0 {
				text.WriteString((<-b.exchange.Pieces()).Text)
			}
			b.texts <- text.String()
			return
		}
	}
}

func sendEffect(attempt uint32) dispatch.Send {
	return dispatch.Send{ID: "r1", Attempt: attempt, Group: []dispatch.Member{{Address: "e:1"}}, FirstTokenTimeout: time.Minute}
}

// drive answers the traffic's events until the request is finished.
func (b *bench) drive() string {
	attempt := uint32(1)
	b.executor.Execute(sendEffect(attempt))
	for e := range b.events {
		switch e.(type) {
		case dispatch.Finished:
			b.executor.Execute(dispatch.Done{ID: "r1"})
			return <-b.texts
		case dispatch.Stalled:
			b.executor.Execute(dispatch.Resume{ID: "r1", Attempt: attempt, Address: "e:1"})
		case dispatch.AttemptFailed:
			b.executor.Execute(dispatch.Drop{ID: "r1", Attempt: attempt})
			attempt++
			b.executor.Execute(sendEffect(attempt))
		}
	}
	return ""
}

// TestAnswerIsWholeAndOwn drives an exchange through generated faults: the
// caller must get exactly its own answer, without gap or repeat.
func TestAnswerIsWholeAndOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		chaos := rapid.Float64Range(0, 0.2).Draw(t, "chaos")
		b := newBench(&faultyEngine{rng: rand.New(rand.NewPCG(seed, 1)), chaos: chaos}, time.Minute)
		if got := b.drive(); got != wholeAnswer() {
			t.Fatalf("seed %d: got %q", seed, got)
		}
	})
}

// TestNaiveReaderMixesAnswers shows that the faults above break a reader that
// takes every piece as it comes.
func TestNaiveReaderMixesAnswers(t *testing.T) {
	f := &faultyEngine{rng: rand.New(rand.NewPCG(7, 1)), chaos: 0.1}
	var text strings.Builder
	for text.Len() < len(wholeAnswer()) {
		s, err := f.stream(engine.WorkID{Request: "r1", Attempt: 1}, text.Len()/len(token(0)))
		if err != nil {
			continue
		}
		for p, err := s.Next(); err == nil; p, err = s.Next() {
			text.WriteString(p.Text)
		}
	}
	if text.String() == wholeAnswer() {
		t.Fatal("the faults did not show")
	}
}

// silentEngine opens streams on which nothing ever comes, but for resumed ones.
type silentEngine struct{ faultyEngine }

func (s *silentEngine) Generate(ctx context.Context, _ string, _ engine.Request) (engine.Stream, error) {
	return &silence{ctx: ctx}, nil
}

type silence struct{ ctx context.Context }

func (s *silence) Next() (engine.Piece, error) {
	<-s.ctx.Done()
	return engine.Piece{}, errors.Wrap(engine.ErrOutcomeUnknown, "connection given up")
}

func (s *silence) Close() error { return nil }

// TestSilentConnectionIsResumedOnANewOne checks that an open connection that
// went silent for good does not hold up the answer.
func TestSilentConnectionIsResumedOnANewOne(t *testing.T) {
	client := &silentEngine{faultyEngine{rng: rand.New(rand.NewPCG(1, 1))}}
	b := newBench(client, 20*time.Millisecond)
	f := sendEffect(1)
	f.FirstTokenTimeout = 20 * time.Millisecond
	b.executor.Execute(f)
	if e, ok := (<-b.events).(dispatch.Stalled); !ok {
		t.Fatalf("got %+v, expected Stalled", e)
	}
	b.executor.Execute(dispatch.Resume{ID: "r1", Attempt: 1, Address: "e:1"})
	for e := range b.events {
		if _, ok := e.(dispatch.Finished); ok {
			break
		}
	}
	b.executor.Execute(dispatch.Done{ID: "r1"})
	if got := <-b.texts; got != wholeAnswer() {
		t.Fatalf("got %q", got)
	}
}

// TestRefusedResumeDoesNotProveNotRun: the attempt ran before its connection
// broke, whatever the engine says to the attempt to resume it.
func TestRefusedResumeDoesNotProveNotRun(t *testing.T) {
	client := &faultyEngine{rng: rand.New(rand.NewPCG(1, 1)), resume: errors.Wrap(engine.ErrNotRun, "connection refused")}
	b := newBench(client, time.Minute)
	b.executor.Execute(dispatch.Resume{ID: "r1", Attempt: 1, Address: "e:1"})
	e, ok := (<-b.events).(dispatch.AttemptFailed)
	if !ok || e.FailureClass != dispatch.FailureOutcomeUnknown {
		t.Fatalf("got %+v, expected an attempt of unknown fate", e)
	}
}
