package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cost is what one operation takes.
type cost struct {
	cpu    time.Duration
	allocs float64
	bytes  float64
}

// perSecond is the share of a core that a rate of operations takes.
func (c cost) perSecond(rate float64) float64 {
	return c.cpu.Seconds() * rate
}

// processorTime is what this process has used, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// batchSize is the number of operations between two looks at the clock.
const batchSize = 16

// measure repeats an operation for sampleTime, with rest in between, which does
// not count.
func measure(run, rest func()) cost {
	run()
	var used time.Duration
	var before, after runtime.MemStats
	var allocs, bytes uint64
	count := 0
	for used < sampleTime {
		runtime.ReadMemStats(&before)
		start := processorTime()
		for began := time.Now(); time.Since(began) < sampleTime/4; count += batchSize {
			for range batchSize {
				run()
			}
		}
		used += max(processorTime()-start, time.Millisecond)
		runtime.ReadMemStats(&after)
		allocs += after.Mallocs - before.Mallocs
		bytes += after.TotalAlloc - before.TotalAlloc
		if rest != nil {
			rest()
		}
	}
	n := float64(count)
	return cost{
		cpu:    time.Duration(float64(used) / n),
		allocs: float64(allocs) / n,
		bytes:  float64(bytes) / n,
	}
}

// heapOf returns the bytes that what build returns keeps alive.
func heapOf(build func() (any, error)) (kept any, size int64, err error) {
	before := liveHeap()
	kept, err = build()
	size = liveHeap() - before
	runtime.KeepAlive(kept)
	return kept, size, err
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
