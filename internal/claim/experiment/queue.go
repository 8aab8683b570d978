package experiment

import (
	"container/heap"
	"time"
)

// scheduledCall is a function to be run at a simulated time. Of two calls with
// the same time, the one with the lower seq runs first.
type scheduledCall struct {
	at  time.Duration
	seq uint64
	run func()
}

// callQueue is a heap of scheduled calls, ordered by their time.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *callQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

// Pop implements heap.Interface.
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// scheduleAt schedules f for the given time, or for now if that time has passed.
func (sim *Simulation) scheduleAt(t time.Duration, f func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, scheduledCall{at: max(t, sim.now), seq: sim.lastSequence, run: f})
}

// scheduleAfter schedules f for the time d from now.
func (sim *Simulation) scheduleAfter(d time.Duration, f func()) {
	sim.scheduleAt(sim.now+d, f)
}

// step runs the next scheduled call and sets the time to its time. It reports
// false if no call is left.
func (sim *Simulation) step() bool {
	if sim.queue.Len() == 0 {
		return false
	}
	next := heap.Pop(&sim.queue).(scheduledCall)
	sim.now = next.at
	next.run()
	return true
}
