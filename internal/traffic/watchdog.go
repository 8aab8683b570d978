package traffic

import (
	"sync"
	"time"
)

// watchdog ends a stream on which nothing has come for its timeout: an open
// connection can go silent for good while new ones work.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	fired bool
}

func newWatchdog(timeout time.Duration, bark func()) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(timeout, func() {
		w.mu.Lock()
		w.fired = true
		w.mu.Unlock()
		bark()
	})
	return w
}

func (w *watchdog) reset(timeout time.Duration) {
	w.timer.Reset(timeout)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}

// barked says whether the timeout passed.
func (w *watchdog) barked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
