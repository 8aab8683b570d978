package gateway

import (
	"sync"
	"time"
)

// watchdogInterval is the time between two looks of a watchdog whose time limit is over.
const watchdogInterval = 100 * time.Millisecond

// watchdog calls a function when a time limit is over, and again and again until that
// returns true or the watchdog is stopped.
type watchdog struct {
	expired func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startWatchdog returns a running watchdog.
func startWatchdog(limit time.Duration, expired func() bool) *watchdog {
	w := &watchdog{expired: expired}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

// check calls the function, and starts the timer anew if that returns false.
func (w *watchdog) check() {
	if w.isStopped() || w.expired() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(watchdogInterval)
	}
}

// isStopped reports whether the watchdog was stopped.
func (w *watchdog) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// stop ends the watchdog. A call of the function that is under way may still end.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
