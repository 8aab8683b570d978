package engine

import (
	"context"
	"time"
)

// maxCatchUp is the longest delay that the step loop makes up for by shorter
// waits. After a longer one, which means that the machine was overloaded or the
// engine frozen, the schedule restarts from the present time.
const maxCatchUp = 50 * time.Millisecond

// stepLoop executes the engine's steps one after another until the instance is
// stopped.
func (i *instance) stepLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stepEnd := time.Now()
	for i.engine.faults.WaitWhileFrozen(i.ctx) {
		i.mu.Lock()
		duration, busy := i.core.Plan(i.elapsed())
		i.mu.Unlock()
		if !busy {
			if !i.waitForWork() {
				return
			}
			stepEnd = time.Now()
			continue
		}
		stepEnd = nextStepEnd(stepEnd, time.Now(), duration)
		if !sleepUntil(i.ctx, timer, stepEnd) || !i.engine.faults.WaitWhileFrozen(i.ctx) {
			return
		}
		i.mu.Lock()
		i.core.Apply(i.elapsed())
		i.mu.Unlock()
	}
}

// nextStepEnd returns the time at which the next step ends: the step follows the
// previous one directly unless the loop is more than maxCatchUp late.
func nextStepEnd(previous, now time.Time, duration time.Duration) time.Time {
	if now.Sub(previous) > maxCatchUp {
		previous = now
	}
	return previous.Add(duration)
}

// waitForWork blocks until wakeStepLoop is called. It returns false if the
// instance is stopped.
func (i *instance) waitForWork() bool {
	select {
	case <-i.ctx.Done():
		return false
	case <-i.wake:
		return true
	}
}

// sleepUntil waits until the time end. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, timer *time.Timer, end time.Time) bool {
	timer.Reset(time.Until(end))
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reportLoop refreshes the load report at every interval and, if
// ReleaseAtDeadline is set, fails work items past their deadline.
func (i *instance) reportLoop() {
	ticker := time.NewTicker(i.engine.config.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-ticker.C:
		}
		if !i.engine.faults.WaitWhileFrozen(i.ctx) {
			return
		}
		i.refreshReport()
		if i.engine.config.ReleaseAtDeadline {
			i.mu.Lock()
			i.core.FailExpired(i.elapsed(), time.Now())
			i.mu.Unlock()
		}
	}
}

// refreshReport replaces the load report that clients get with the present
// state.
func (i *instance) refreshReport() {
	i.mu.Lock()
	defer i.mu.Unlock()
	report := i.core.Load(i.elapsed())
	report.Sequence = i.report.Sequence + 1
	report.Models = i.models.loaded(i.elapsed())
	report.Leaving = !i.engine.faults.LeavingSince().IsZero()
	i.report = report
}
