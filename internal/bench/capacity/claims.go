package capacity

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/experiment"
)

// claimRun is one size at which claims are measured.
type claimRun struct {
	hosts   int
	actions float64
	// shards, window and pace are the layout of the objects in which claims are
	// stored: the number of shards, the time that one object covers, and the
	// pause between writes.
	shards int
	window time.Duration
	pace   time.Duration
}

// claimRuns are the sizes measured. They begin with the default layout and end
// with one for the target size, where one request in a hundred is an action that
// runs at most once.
var claimRuns = []claimRun{
	{8, 10, 8, time.Minute, 20 * time.Millisecond},
	{8, 50, 8, time.Minute, 20 * time.Millisecond},
	{8, 200, 8, time.Minute, 20 * time.Millisecond},
	{30, 200, 8, time.Minute, 20 * time.Millisecond},
	{targetNodes, targetRequests / 100, 16, 10 * time.Second, 50 * time.Millisecond},
}

const claimLength = 10 * time.Second

// claimFigures are the measurements of the whole system at one rate of actions.
type claimFigures struct {
	run             claimRun
	writesPerSecond float64
	readsPerSecond  float64
	grantedShare    float64
	bytesPerKey     float64
}

func (r *measurementRun) addClaimTable() {
	t := r.newTable("Claims on actions that run at most once, one owner a shard object",
		"hosts", "actions a second", "shards", "window", "granted", "store writes a second", "conflicts a second", "store reads a second", "bytes written a second", "stored bytes a key", "largest object")
	for _, size := range claimRuns {
		r.printProgress(fmt.Sprintf("claims of %d hosts, %.0f actions a second", size.hosts, size.actions))
		r.figures.claims = append(r.figures.claims, measureClaims(t, size))
	}
}

func measureClaims(t *Table, c claimRun) claimFigures {
	config := experiment.DefaultConfig()
	config.Hosts, config.ActionsPerSecond, config.ArrivalDuration = c.hosts, c.actions, claimLength
	config.ForwardToOwner, config.Shards, config.WindowLength, config.Core.Pace = true, c.shards, c.window, c.pace
	simulation := experiment.Run(config)
	u := simulation.Usage()
	s := claimLength.Seconds()
	f := claimFigures{
		run:             c,
		writesPerSecond: float64(u.Writes) / s,
		readsPerSecond:  float64(u.Reads) / s,
		grantedShare:    float64(u.Granted) / float64(max(1, u.Decisions)),
		bytesPerKey:     float64(u.StoredBytes) / float64(max(1, len(simulation.Executions()))),
	}
	t.add(formatNumber(float64(c.hosts)), formatNumber(c.actions), formatNumber(float64(c.shards)), c.window.String(), fmt.Sprintf("%.1f%%", 100*f.grantedShare), formatNumber(f.writesPerSecond), formatNumber(float64(u.Conflicts)/s), formatNumber(f.readsPerSecond),
		formatBytes(float64(u.BytesWritten)/s), formatBytes(f.bytesPerKey), formatBytes(float64(u.LargestBytes)))
	return f
}
