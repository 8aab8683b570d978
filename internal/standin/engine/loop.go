package engine

import (
	"context"
	"time"
)

// maxBehind is how much lost time the step loop makes up for; beyond it the
// machine was busy or the engine frozen, and the schedule starts anew.
const maxBehind = 50 * time.Millisecond

// stepLoop runs the engine's steps one after another.
func (l *life) stepLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	end := time.Now()
	for l.engine.faults.WaitWhileFrozen(l.ctx) {
		l.mu.Lock()
		duration, busy := l.core.Plan(l.now())
		l.mu.Unlock()
		if !busy {
			if !l.idle() {
				return
			}
			end = time.Now()
			continue
		}
		end = nextEnd(end, time.Now(), duration)
		if !sleepUntil(l.ctx, timer, end) || !l.engine.faults.WaitWhileFrozen(l.ctx) {
			return
		}
		l.mu.Lock()
		l.core.Apply(l.now())
		l.mu.Unlock()
	}
}

func nextEnd(previous, now time.Time, duration time.Duration) time.Time {
	if now.Sub(previous) > maxBehind {
		previous = now
	}
	return previous.Add(duration)
}

func (l *life) idle() bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-l.wake:
		return true
	}
}

func sleepUntil(ctx context.Context, timer *time.Timer, end time.Time) bool {
	timer.Reset(time.Until(end))
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reportLoop renews the load report, and enforces deadlines where asked to.
func (l *life) reportLoop() {
	ticker := time.NewTicker(l.engine.config.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.engine.faults.WaitWhileFrozen(l.ctx) {
			return
		}
		l.renewReport()
		if l.engine.config.ReleaseAtDeadline {
			l.mu.Lock()
			l.core.FailExpired(l.now(), time.Now())
			l.mu.Unlock()
		}
	}
}

func (l *life) renewReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.core.Load(l.now())
	report.Sequence = l.report.Sequence + 1
	report.Models = l.models.loaded(l.now())
	report.Leaving = !l.engine.faults.LeavingSince().IsZero()
	l.report = report
}
