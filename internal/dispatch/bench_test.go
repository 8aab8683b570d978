package dispatch_test

import (
	"testing"

	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
)

// settleEvery is how many operations may pass until the engines report.
const settleEvery = 1024

// BenchmarkStep gives the cost of events at today's size and at the aim's.
func BenchmarkStep(b *testing.B) {
	waiting := experiment.TargetSize
	waiting.Waiting = 100
	for _, size := range []experiment.Size{experiment.CurrentSize, experiment.TargetSize, waiting} {
		for _, o := range experiment.Operations(size) {
			b.Run(size.String()+"/"+o.Name, func(b *testing.B) { step(b, size, o) })
		}
	}
}

func step(b *testing.B, size experiment.Size, o experiment.Operation) {
	w, err := experiment.New(size, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%settleEvery == settleEvery-1 {
			b.StopTimer()
			w.ReportAllEngines()
			b.StartTimer()
		}
		o.Run(w)
	}
}
