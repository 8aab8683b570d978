package capacity

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/experiment"
)

// claimRun is one size of the claims' measurement.
type claimRun struct {
	hosts   int
	actions float64
}

var claimRuns = []claimRun{
	{8, 10}, {8, 50}, {8, 200}, {30, 50},
}

const claimLength = 10 * time.Second

// claimFigures are of the whole system at one rate of actions.
type claimFigures struct {
	run     claimRun
	writes  float64
	reads   float64
	granted float64
	perKey  float64
}

func (r *run) claims() {
	t := r.table("Claims on actions that run at most once: 8 shard objects a minute, store limits off",
		"hosts", "actions a second", "granted", "store writes a second", "conflicts a second", "store reads a second", "bytes written a second", "stored bytes a key", "largest object")
	for _, size := range claimRuns {
		r.tell(fmt.Sprintf("claims of %d hosts, %.0f actions a second", size.hosts, size.actions))
		r.figures.claims = append(r.figures.claims, measureClaims(t, size))
	}
}

func measureClaims(t *Table, c claimRun) claimFigures {
	config := experiment.DefaultConfig()
	config.Hosts, config.ActionsPerSecond, config.Length = c.hosts, c.actions, claimLength
	config.Store.WritesPerSecond, config.Store.ReadsPerSecond = 0, 0
	w := experiment.Run(config)
	u := w.Usage()
	s := claimLength.Seconds()
	f := claimFigures{
		run:     c,
		writes:  float64(u.Writes) / s,
		reads:   float64(u.Reads) / s,
		granted: float64(u.Granted) / float64(max(1, u.Asked)),
		perKey:  float64(u.StoredBytes) / float64(max(1, len(w.Executions()))),
	}
	t.add(count(float64(c.hosts)), count(c.actions), fmt.Sprintf("%.1f%%", 100*f.granted), count(f.writes), count(float64(u.Conflicts)/s), count(f.reads),
		size(float64(u.BytesWritten)/s), size(f.perKey), size(float64(u.LargestBytes)))
	return f
}
