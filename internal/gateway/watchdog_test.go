package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWatchdogLooksAgainUntilItIsStopped guards against a watchdog that gives up after its
// first look, or that starts its timer again while it is being stopped and then ends an
// attempt whose data has come.
func TestWatchdogLooksAgainUntilItIsStopped(t *testing.T) {
	g := NewWithT(t)
	var looks atomic.Int64
	looking, proceed := make(chan struct{}, 8), make(chan struct{})
	w := startWatchdog(time.Millisecond, func() bool {
		looks.Add(1)
		looking <- struct{}{}
		<-proceed
		return false
	})
	<-looking
	proceed <- struct{}{}
	<-looking
	w.stop()
	close(proceed)
	g.Consistently(looks.Load, 3*watchdogInterval).Should(Equal(int64(2)))
}

// TestWatchdogEndsOnceItHasActed guards against an attempt that is ended twice.
func TestWatchdogEndsOnceItHasActed(t *testing.T) {
	g := NewWithT(t)
	var looks atomic.Int64
	startWatchdog(time.Millisecond, func() bool { return looks.Add(1) == 2 })
	g.Eventually(looks.Load).Should(Equal(int64(2)))
	g.Consistently(looks.Load, 3*watchdogInterval).Should(Equal(int64(2)))
}
