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
	// shards, window and pace are the layout of the store's objects.
	shards int
	window time.Duration
	pace   time.Duration
}

// claimRuns begin with the default layout and end with one for the aim's size,
// where one request in a hundred is such an action.
var claimRuns = []claimRun{
	{8, 10, 8, time.Minute, 20 * time.Millisecond},
	{8, 50, 8, time.Minute, 20 * time.Millisecond},
	{8, 200, 8, time.Minute, 20 * time.Millisecond},
	{30, 200, 8, time.Minute, 20 * time.Millisecond},
	{aimNodes, aimRequests / 100, 16, 10 * time.Second, 50 * time.Millisecond},
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
	t := r.table("Claims on actions that run at most once, one owner a shard object",
		"hosts", "actions a second", "shards", "window", "granted", "store writes a second", "conflicts a second", "store reads a second", "bytes written a second", "stored bytes a key", "largest object")
	for _, size := range claimRuns {
		r.tell(fmt.Sprintf("claims of %d hosts, %.0f actions a second", size.hosts, size.actions))
		r.figures.claims = append(r.figures.claims, measureClaims(t, size))
	}
}

func measureClaims(t *Table, c claimRun) claimFigures {
	config := experiment.DefaultConfig()
	config.Hosts, config.ActionsPerSecond, config.ArrivalDuration = c.hosts, c.actions, claimLength
	config.ForwardToOwner, config.Shards, config.WindowLength, config.Core.Pace = true, c.shards, c.window, c.pace
	w := experiment.Run(config)
	u := w.Usage()
	s := claimLength.Seconds()
	f := claimFigures{
		run:     c,
		writes:  float64(u.Writes) / s,
		reads:   float64(u.Reads) / s,
		granted: float64(u.Granted) / float64(max(1, u.Decisions)),
		perKey:  float64(u.StoredBytes) / float64(max(1, len(w.Executions()))),
	}
	t.add(count(float64(c.hosts)), count(c.actions), count(float64(c.shards)), c.window.String(), fmt.Sprintf("%.1f%%", 100*f.granted), count(f.writes), count(float64(u.Conflicts)/s), count(f.reads),
		size(float64(u.BytesWritten)/s), size(f.perKey), size(float64(u.LargestBytes)))
	return f
}
