package host

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/router"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// gaugeInterval is the time between two updates of the gauges from the core.
const gaugeInterval = 5 * time.Second

// reportedStates are the states for which the gauge of other hosts has a
// series.
var reportedStates = []wire.State{wire.Alive, wire.Suspect, wire.Leaving, wire.Dead}

// coreGauges holds the gauges that show the core's state.
type coreGauges struct {
	metrics *telemetry.Registry
	// enginesWithWork are the engines that had work of this host at the last
	// update.
	enginesWithWork map[string]bool
}

// addGaugeUpdates adds the actor that updates the gauges.
func (p *Process) addGaugeUpdates(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.updateGauges(ctx)
		return nil
	}, func(error) { cancel() })
}

// updateGauges updates the gauges at every gaugeInterval until the context
// ends.
func (p *Process) updateGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	gauges := coreGauges{metrics: p.metrics}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var members map[wire.State]int
		var work []dispatch.PeerWork
		ok := p.loop.Inspect(ctx, func(c *router.Core) { members, work = c.CountMembersByState(), c.OwnWork() })
		if ok {
			gauges.update(members, work)
		}
	}
}

// update sets the gauges. The series of engines without work of this host are
// removed, so that engines that no longer exist leave no series behind.
func (g *coreGauges) update(members map[wire.State]int, work []dispatch.PeerWork) {
	for _, s := range reportedStates {
		g.metrics.Gauge("members", float64(members[s]), "state", s.String())
	}
	current := make(map[string]bool, len(work))
	for _, w := range work {
		current[w.Upstream] = true
		g.metrics.Gauge("own_memory_tokens", float64(w.MemoryTokens), "engine", w.Upstream)
	}
	for name := range g.enginesWithWork {
		if !current[name] {
			g.metrics.Remove("own_memory_tokens", "engine", name)
		}
	}
	g.enginesWithWork = current
}
