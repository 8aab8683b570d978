package experiment

import (
	"container/heap"
	"time"
)

// timed is a function to be run at a time; seq breaks ties.
type timed struct {
	at  time.Duration
	seq uint64
	run func()
}

// queue orders what is to happen.
type queue []timed

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(timed)) }

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// at runs f at the time given.
func (w *Simulation) at(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, timed{at: max(t, w.now), seq: w.seq, run: f})
}

func (w *Simulation) after(d time.Duration, f func()) {
	w.at(w.now+d, f)
}

// step runs the next function and reports false when none is left.
func (w *Simulation) step() bool {
	if w.queue.Len() == 0 {
		return false
	}
	next := heap.Pop(&w.queue).(timed)
	w.now = next.at
	next.run()
	return true
}
