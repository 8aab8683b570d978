// Package fault holds the faults that stand-ins suffer on request. A Set
// decides about each request; a Listener silences or cuts connections. Death
// and what concerns one kind of stand-in alone is left to the stand-in.
package fault

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kinds of Order.
const (
	// Die closes the port and all connections and loses all state; with
	// ForMillis the stand-in comes back empty after that time.
	Die = "die"
	// Freeze stops everything for ForMillis; connections stay open.
	Freeze = "freeze"
	// Silent makes the connections open now lose all traffic for good.
	Silent = "silent"
	// Cut closes the connections open now.
	Cut = "cut"
	// LoseAnswer runs the next Count requests and then cuts the connection
	// without an answer.
	LoseAnswer = "lose_answer"
	// Drop cuts the connection of the next Count requests without running them.
	Drop = "drop"
	// Delay holds each request back by DelayMillis before it is run.
	Delay = "delay"
	// Fail makes an engine's works end with an error now, and a service report
	// failure of the next Count calls that it has run.
	Fail = "fail"
	// RefuseMemory refuses all new memory for ForMillis, 0 until cleared.
	RefuseMemory = "refuse_memory"
	// Leaving announces that the stand-in is about to go.
	Leaving = "leaving"
	// Clear ends every fault but death.
	Clear = "clear"
)

// Command asks for one fault.
type Command struct {
	Kind string `json:"kind"`
	// ForMillis is how long the fault lasts, in milliseconds.
	ForMillis int `json:"for_ms,omitempty"`
	// DelayMillis is the delay of Delay, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Count is how many requests are affected; 0 counts as 1.
	Count int `json:"count,omitempty"`
	// Path limits the fault to requests whose path begins so; empty means all.
	Path string `json:"path,omitempty"`
}

// Duration returns ForMillis as a duration.
func (o Command) Duration() time.Duration { return time.Duration(o.ForMillis) * time.Millisecond }

// Decision is what happens to one request.
type Decision struct {
	Delay      time.Duration
	Drop       bool
	LoseAnswer bool
}

// Set is the state of the faults in force.
type Set struct {
	mu      sync.Mutex
	thaw    chan struct{} // non-nil while frozen
	thawAt  time.Time
	drop    counted
	lose    counted
	fail    counted
	delay   time.Duration
	path    string    // of delay
	until   time.Time // of delay, zero for no end
	leaving time.Time // zero unless leaving
}

type counted struct {
	left int
	path string
}

func (c *counted) hit(path string) bool {
	if c.left == 0 || !strings.HasPrefix(path, c.path) {
		return false
	}
	c.left--
	return true
}

// Apply puts an order in force if its kind is one that a Set handles:
// Freeze, LoseAnswer, Drop, Fail, Delay, Leaving and Clear.
func (s *Set) Apply(o Command) error {
	if o.Kind == Freeze {
		return s.freeze(o.Duration())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Kind {
	case LoseAnswer:
		s.lose = counted{left: max(o.Count, 1), path: o.Path}
	case Drop:
		s.drop = counted{left: max(o.Count, 1), path: o.Path}
	case Fail:
		s.fail = counted{left: max(o.Count, 1), path: o.Path}
	case Delay:
		s.setDelay(o)
	case Leaving:
		if s.leaving.IsZero() {
			s.leaving = time.Now()
		}
	case Clear:
		s.clear()
	default:
		return errors.Errorf("unknown kind of fault %q", o.Kind)
	}
	return nil
}

func (s *Set) setDelay(o Command) {
	s.delay, s.path, s.until = time.Duration(o.DelayMillis)*time.Millisecond, o.Path, time.Time{}
	if o.ForMillis > 0 {
		s.until = time.Now().Add(o.Duration())
	}
}

func (s *Set) clear() {
	if s.thaw != nil {
		close(s.thaw)
		s.thaw = nil
	}
	s.drop, s.lose, s.fail = counted{}, counted{}, counted{}
	s.delay, s.until, s.leaving = 0, time.Time{}, time.Time{}
}

func (s *Set) freeze(d time.Duration) error {
	if d <= 0 {
		return errors.New("freeze: for_ms must be above 0")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thawAt = time.Now().Add(d)
	if s.thaw == nil {
		thaw := make(chan struct{})
		s.thaw = thaw
		time.AfterFunc(d, func() { s.tryThaw(thaw) })
	}
	return nil
}

func (s *Set) tryThaw(thaw chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw != thaw {
		return
	}
	if left := time.Until(s.thawAt); left > 0 {
		time.AfterFunc(left, func() { s.tryThaw(thaw) })
		return
	}
	s.thaw = nil
	close(thaw)
}

// WaitWhileFrozen waits while the stand-in is frozen; false means that ctx ended.
func (s *Set) WaitWhileFrozen(ctx context.Context) bool {
	for {
		s.mu.Lock()
		thaw := s.thaw
		s.mu.Unlock()
		if thaw == nil {
			return ctx.Err() == nil
		}
		select {
		case <-thaw:
		case <-ctx.Done():
			return false
		}
	}
}

// LeavingSince returns when the sign of leaving was given, or zero.
func (s *Set) LeavingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Decide decides about one request.
func (s *Set) Decide(path string) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f Decision
	if s.delay > 0 && strings.HasPrefix(path, s.path) && (s.until.IsZero() || time.Now().Before(s.until)) {
		f.Delay = s.delay
	}
	f.Drop = s.drop.hit(path)
	f.LoseAnswer = !f.Drop && s.lose.hit(path)
	return f
}

// ConsumeFailure decides whether a call that was run is to be reported as failed.
func (s *Set) ConsumeFailure(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fail.hit(path)
}

// Wrap applies the faults in force to each request that next serves, until
// life ends. A request held back runs later even if its caller has gone, as
// it would in a process that was paused.
func (s *Set) Wrap(life context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.WaitWhileFrozen(life) {
			panic(http.ErrAbortHandler)
		}
		f := s.Decide(r.URL.Path)
		if f.Drop {
			panic(http.ErrAbortHandler)
		}
		if f.Delay > 0 {
			pause(life, f.Delay)
		}
		if f.LoseAnswer {
			w = lostReply{w}
		}
		next.ServeHTTP(w, r)
	})
}

func pause(life context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life.Done():
	}
}

// lostReply cuts the connection when the answer begins.
type lostReply struct{ http.ResponseWriter }

// WriteHeader cuts the connection.
func (lostReply) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write cuts the connection.
func (lostReply) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }
