package dispatch_test

import (
	"testing"

	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
)

// operationsPerReport is the number of operations after which all engines
// report their load again, outside of the measured time.
const operationsPerReport = 1024

// BenchmarkStep measures the cost of events at the current size, at the target
// size, and at the target size with requests waiting.
func BenchmarkStep(b *testing.B) {
	waiting := experiment.TargetSize
	waiting.Waiting = 100
	for _, size := range []experiment.Size{experiment.CurrentSize, experiment.TargetSize, waiting} {
		for _, o := range experiment.Operations(size) {
			b.Run(size.String()+"/"+o.Name, func(b *testing.B) { benchmarkOperation(b, size, o) })
		}
	}
}

// benchmarkOperation measures one operation in a simulation of the given size.
func benchmarkOperation(b *testing.B, size experiment.Size, o experiment.Operation) {
	sim, err := experiment.New(size, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%operationsPerReport == operationsPerReport-1 {
			b.StopTimer()
			sim.ReportAllEngines()
			b.StartTimer()
		}
		o.Run(sim)
	}
}
