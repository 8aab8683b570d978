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

// gaugeInterval is the time between two readings of the core for the gauges.
const gaugeInterval = 5 * time.Second

// memberStates are the states by which other hosts are counted.
var memberStates = []wire.State{wire.Alive, wire.Suspect, wire.Leaving, wire.Dead}

// gauges keeps the metrics that show the core's state.
type gauges struct {
	metrics *telemetry.Registry
	// engines are the ones that had work of this host at the last reading.
	engines map[string]bool
}

// addGauges adds the reading of the core for the gauges.
func (p *Process) addGauges(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.followGauges(ctx)
		return nil
	}, func(error) { cancel() })
}

func (p *Process) followGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	shown := gauges{metrics: p.metrics}
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
			shown.show(members, work)
		}
	}
}

// show sets the gauges. Engines without work of this host have no series, so
// that those which are gone leave none behind.
func (g *gauges) show(members map[wire.State]int, work []dispatch.PeerWork) {
	for _, s := range memberStates {
		g.metrics.Gauge("members", float64(members[s]), "state", s.String())
	}
	now := make(map[string]bool, len(work))
	for _, w := range work {
		now[w.Upstream] = true
		g.metrics.Gauge("own_memory_tokens", float64(w.MemoryTokens), "engine", w.Upstream)
	}
	for name := range g.engines {
		if !now[name] {
			g.metrics.Remove("own_memory_tokens", "engine", name)
		}
	}
	g.engines = now
}
