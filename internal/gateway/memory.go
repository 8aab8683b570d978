package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/memory"
	"github.com/chestnutline/chestnutline/platform"
)

// memoryReportInterval is the time between two looks at what is held for others.
const memoryReportInterval = 10 * time.Second

// newBudget sets the soft limit of the runtime and returns the budget, both from the
// memory and the descriptors that the process may use.
func newBudget(s platform.Settings) *memory.Budget {
	limits := memory.LimitsFor(s.MemoryBytes)
	debug.SetMemoryLimit(limits.HeapBytes)
	return memory.NewWithConnections(limits.BudgetBytes, memory.ConnectionsFor(s.MaxDescriptors))
}

// newCallerServer returns a server for the connections that limitCallers accepts.
func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withCallerConn, ConnState: trackHeads,
	}
}

// limitCallers makes a listener accept only connections for which there is room.
func (p *Process) limitCallers(l net.Listener) net.Listener {
	return &callerListener{
		Listener: l, budget: p.budget, headLimit: p.headLimit, headRefused: func() { p.headsRefused.Add(1) },
	}
}

// headLimit returns how many bytes of a head are read: the declared limit and some more,
// or maxHeaderBytes before it is known.
func (p *Process) headLimit() int {
	configuration := p.storeView.configuration.Load()
	if configuration == nil || configuration.Limits.HeaderBytes <= 0 {
		return maxHeaderBytes + headSlackBytes
	}
	return configuration.Limits.HeaderBytes + headSlackBytes
}

// memoryReport counts and logs what callers are refused for lack of room.
type memoryReport struct {
	last      memory.Figures
	lastHeads int64
}

// reportMemory writes the metrics of the budget until the context ends, and logs when
// holders had to give way.
func (p *Process) reportMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	var report memoryReport
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			report.update(p, p.budget.Figures(), p.headsRefused.Load())
		}
	}
}

// update writes the metrics for new figures.
func (m *memoryReport) update(p *Process, figures memory.Figures, heads int64) {
	refused, gaveWay := int64(0), int64(0)
	for class := range memory.ClassCount {
		p.metrics.Gauge("gateway_held_bytes", float64(figures.Held[class]), "for", class.String())
		if n := figures.Refused[class] - m.last.Refused[class]; n > 0 {
			p.metrics.Count("gateway_memory_refused_total", n, "for", class.String())
			refused += n
		}
		if n := figures.GaveWay[class] - m.last.GaveWay[class]; n > 0 {
			p.metrics.Count("gateway_memory_gave_way_total", n, "for", class.String())
			gaveWay += n
		}
	}
	p.metrics.Gauge("gateway_caller_connections", float64(figures.Connections))
	if n := heads - m.lastHeads; n > 0 {
		p.metrics.Count("gateway_heads_cut_total", n)
	}
	if refused+gaveWay+heads-m.lastHeads > 0 {
		logevent.CallersLimited.Emit(p.logger, log.Fields{
			"refused": refused, "gave_way": gaveWay, "heads_cut": heads - m.lastHeads, "connections": figures.Connections,
			"held_connections": figures.Held[memory.Connection], "held_requests": figures.Held[memory.Request],
			"held_answers": figures.Held[memory.Answer], "held_messages": figures.Held[memory.Message],
		})
	}
	m.last, m.lastHeads = figures, heads
}
