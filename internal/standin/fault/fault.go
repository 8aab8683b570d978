// Package fault implements the faults that can be injected into stand-ins. A Set
// decides which faults apply to each request; a Listener silences or closes
// connections. Stopping a stand-in, and faults that only one type of stand-in
// has, are implemented by that stand-in.
package fault

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Values of Command.Kind.
const (
	// Die closes the port and all connections and loses all state. If ForMillis
	// is set, the stand-in restarts empty after that time.
	Die = "die"
	// Freeze pauses all processing for ForMillis; connections stay open.
	Freeze = "freeze"
	// Silent makes the connections that are open now lose all traffic
	// permanently.
	Silent = "silent"
	// Cut closes the connections that are open now.
	Cut = "cut"
	// LoseAnswer runs the next Count requests and then closes each connection
	// without an answer.
	LoseAnswer = "lose_answer"
	// Drop closes the connections of the next Count requests without running the
	// requests.
	Drop = "drop"
	// Delay makes each request wait for DelayMillis before it is run.
	Delay = "delay"
	// Fail makes an engine end all its present work with an error. A service
	// runs its next Count calls and reports them as failed.
	Fail = "fail"
	// RefuseMemory makes an engine refuse all requests for memory for ForMillis,
	// or until Clear if that is 0.
	RefuseMemory = "refuse_memory"
	// Leaving makes the stand-in announce that it is about to stop.
	Leaving = "leaving"
	// Clear ends every fault except Die.
	Clear = "clear"
)

// Command requests one fault.
type Command struct {
	// Kind is one of the constants above, such as Die.
	Kind string `json:"kind"`
	// ForMillis is the duration of the fault, in milliseconds.
	ForMillis int `json:"for_ms,omitempty"`
	// DelayMillis is the delay that the kind Delay adds, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Count is the number of requests that the fault affects; 0 counts as 1.
	Count int `json:"count,omitempty"`
	// Path limits the fault to requests whose path begins with it; an empty Path
	// matches all.
	Path string `json:"path,omitempty"`
}

// Duration returns ForMillis as a time.Duration.
func (c Command) Duration() time.Duration { return time.Duration(c.ForMillis) * time.Millisecond }

// Decision holds the faults that apply to one request.
type Decision struct {
	// Delay is the time that the request waits before it is run.
	Delay time.Duration
	// Drop closes the connection without running the request.
	Drop bool
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer bool
}

// Set holds the faults that are in force. Its zero value has none and is ready
// for use; it is safe for concurrent use.
type Set struct {
	mu           sync.Mutex
	freezeEnded  chan struct{} // non-nil while frozen, closed at the end of the freeze
	frozenUntil  time.Time
	dropRequests countedFault
	loseAnswers  countedFault
	failures     countedFault
	delay        time.Duration
	delayPath    string    // path prefix of the requests that are delayed
	delayUntil   time.Time // end of the delay, zero for none
	leavingSince time.Time // zero unless the stand-in is leaving
}

// countedFault is a fault that affects a number of requests under a path.
type countedFault struct {
	remaining int
	path      string
}

// consume reports whether the fault affects a request with the path, and reduces
// the number of remaining requests if it does.
func (c *countedFault) consume(path string) bool {
	if c.remaining == 0 || !strings.HasPrefix(path, c.path) {
		return false
	}
	c.remaining--
	return true
}

// Apply puts a command in force if a Set handles its kind, which are Freeze,
// LoseAnswer, Drop, Fail, Delay, Leaving and Clear. It returns an error for any
// other kind.
func (s *Set) Apply(command Command) error {
	if command.Kind == Freeze {
		return s.freeze(command.Duration())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch command.Kind {
	case LoseAnswer:
		s.loseAnswers = countedFault{remaining: max(command.Count, 1), path: command.Path}
	case Drop:
		s.dropRequests = countedFault{remaining: max(command.Count, 1), path: command.Path}
	case Fail:
		s.failures = countedFault{remaining: max(command.Count, 1), path: command.Path}
	case Delay:
		s.setDelay(command)
	case Leaving:
		if s.leavingSince.IsZero() {
			s.leavingSince = time.Now()
		}
	case Clear:
		s.clear()
	default:
		return errors.Errorf("unknown kind of fault %q", command.Kind)
	}
	return nil
}

// setDelay replaces the delay of requests in force. The caller must hold the
// lock.
func (s *Set) setDelay(command Command) {
	s.delay, s.delayPath, s.delayUntil = time.Duration(command.DelayMillis)*time.Millisecond, command.Path, time.Time{}
	if command.ForMillis > 0 {
		s.delayUntil = time.Now().Add(command.Duration())
	}
}

// clear ends all faults in force. The caller must hold the lock.
func (s *Set) clear() {
	if s.freezeEnded != nil {
		close(s.freezeEnded)
		s.freezeEnded = nil
	}
	s.dropRequests, s.loseAnswers, s.failures = countedFault{}, countedFault{}, countedFault{}
	s.delay, s.delayUntil, s.leavingSince = 0, time.Time{}, time.Time{}
}

// freeze pauses the stand-in for the duration from now on. If a freeze is already
// in force, a longer one prolongs it, but a shorter one does not end it at once.
func (s *Set) freeze(duration time.Duration) error {
	if duration <= 0 {
		return errors.New("freeze: for_ms must be above 0")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenUntil = time.Now().Add(duration)
	if s.freezeEnded == nil {
		freezeEnded := make(chan struct{})
		s.freezeEnded = freezeEnded
		time.AfterFunc(duration, func() { s.endFreezeWhenDue(freezeEnded) })
	}
	return nil
}

// endFreezeWhenDue ends the freeze to which the channel belongs, or waits again
// if the freeze was prolonged in the meantime.
func (s *Set) endFreezeWhenDue(freezeEnded chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freezeEnded != freezeEnded {
		return
	}
	if frozenFor := time.Until(s.frozenUntil); frozenFor > 0 {
		time.AfterFunc(frozenFor, func() { s.endFreezeWhenDue(freezeEnded) })
		return
	}
	s.freezeEnded = nil
	close(freezeEnded)
}

// WaitWhileFrozen blocks while the stand-in is frozen. It returns false if ctx
// ended first.
func (s *Set) WaitWhileFrozen(ctx context.Context) bool {
	for {
		s.mu.Lock()
		freezeEnded := s.freezeEnded
		s.mu.Unlock()
		if freezeEnded == nil {
			return ctx.Err() == nil
		}
		select {
		case <-freezeEnded:
		case <-ctx.Done():
			return false
		}
	}
}

// LeavingSince returns the time at which the stand-in began to announce that it
// is leaving, or the zero time if it does not.
func (s *Set) LeavingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leavingSince
}

// Decide returns the faults that apply to one request with the path, and counts
// the request against those with a limited number.
func (s *Set) Decide(path string) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	var decision Decision
	if s.delay > 0 && strings.HasPrefix(path, s.delayPath) && (s.delayUntil.IsZero() || time.Now().Before(s.delayUntil)) {
		decision.Delay = s.delay
	}
	decision.Drop = s.dropRequests.consume(path)
	decision.LoseAnswer = !decision.Drop && s.loseAnswers.consume(path)
	return decision
}

// ConsumeFailure reports whether a call that was run is to be reported as
// failed, and counts it against the failures that remain.
func (s *Set) ConsumeFailure(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures.consume(path)
}

// Wrap returns a handler that applies the faults in force to each request before
// next serves it, until the context lifetime ends. A delayed request runs even
// if its caller has gone in the meantime, as it would in a process that was
// paused.
func (s *Set) Wrap(lifetime context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.WaitWhileFrozen(lifetime) {
			panic(http.ErrAbortHandler)
		}
		decision := s.Decide(r.URL.Path)
		if decision.Drop {
			panic(http.ErrAbortHandler)
		}
		if decision.Delay > 0 {
			sleep(lifetime, decision.Delay)
		}
		if decision.LoseAnswer {
			w = lostAnswerWriter{w}
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits for d or until the context lifetime ends.
func sleep(lifetime context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-lifetime.Done():
	}
}

// lostAnswerWriter closes the connection when the handler begins to answer.
type lostAnswerWriter struct{ http.ResponseWriter }

// WriteHeader closes the connection by aborting the handler.
func (lostAnswerWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write closes the connection by aborting the handler.
func (lostAnswerWriter) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }
