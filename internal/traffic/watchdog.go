package traffic

import (
	"sync"
	"time"
)

// watchdog calls a function when no data was received on a stream for the length
// of its timeout. An open connection can stay silent forever while new
// connections work.
type watchdog struct {
	mu       sync.Mutex
	timer    *time.Timer
	timedOut bool
}

// newWatchdog starts a watchdog that calls onTimeout after the timeout, unless it
// is reset or stopped before.
func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(timeout, func() {
		w.mu.Lock()
		w.timedOut = true
		w.mu.Unlock()
		onTimeout()
	})
	return w
}

// reset restarts the wait with the timeout given.
func (w *watchdog) reset(timeout time.Duration) {
	w.timer.Reset(timeout)
}

// stop ends the wait.
func (w *watchdog) stop() {
	w.timer.Stop()
}

// hasTimedOut reports whether the timeout has passed.
func (w *watchdog) hasTimedOut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timedOut
}
