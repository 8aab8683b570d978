package peer

import "time"

// watch decides when to ping and when a connection counts as silent or idle.
// It belongs to one goroutine.
type watch struct {
	cfg Config
	// silence fires when a ping stayed unanswered.
	silence <-chan time.Time
	timer   *time.Timer
	// unheard says that something was sent since the last ping.
	unheard bool
	waiting bool
	sentAt  time.Time
}

func newWatch(cfg Config) *watch {
	return &watch{cfg: cfg, sentAt: time.Now()}
}

func (w *watch) sent() {
	w.unheard = true
	w.sentAt = time.Now()
}

// ping tells whether to ping now, and starts to wait for the answer.
func (w *watch) ping() bool {
	if !w.unheard || w.waiting {
		return false
	}
	w.unheard = false
	w.waiting = true
	w.timer = time.NewTimer(w.cfg.SilenceTimeout)
	w.silence = w.timer.C
	return true
}

func (w *watch) answered() {
	w.waiting = false
	w.stop()
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.silence = nil
}

func (w *watch) idle() bool {
	return time.Since(w.sentAt) > w.cfg.IdleTimeout
}
