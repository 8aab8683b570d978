package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cost is the processor time, number of allocations and allocated bytes of one
// operation.
type cost struct {
	cpu    time.Duration
	allocs float64
	bytes  float64
}

// coreShare returns the share of a core that operations need at the given rate
// per second.
func (c cost) coreShare(rate float64) float64 {
	return c.cpu.Seconds() * rate
}

// processorTime returns the processor time that this process has used so far, in
// user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// batchSize is the number of operations between two reads of the clock.
const batchSize = 16

// measure repeats an operation for sampleTime and returns its mean cost. It calls
// betweenSamples, unless nil, after each sample; the cost of that call does not
// count.
func measure(run, betweenSamples func()) cost {
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
		if betweenSamples != nil {
			betweenSamples()
		}
	}
	n := float64(count)
	return cost{
		cpu:    time.Duration(float64(used) / n),
		allocs: float64(allocs) / n,
		bytes:  float64(bytes) / n,
	}
}

// heapGrowth returns the value that build returns and the bytes of heap that the
// value keeps alive.
func heapGrowth(build func() (any, error)) (kept any, size int64, err error) {
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
