package capacity

import (
	"fmt"

	"github.com/chestnutline/chestnutline/internal/controller/experiment"
)

// controllerSizes are the sizes of one data centre at which its controllers are
// measured.
var controllerSizes = []experiment.Size{
	{Candidates: 2, Engines: 6, Elsewhere: 21},
	{Candidates: 8, Engines: 80, Elsewhere: 200},
	{Candidates: targetHosts, Engines: targetEngines, Elsewhere: targetNodes + targetServers - targetHosts - targetEngines},
}

func (r *measurementRun) addControllerCostTable() {
	t := r.newTable("Controllers of one data centre: without faults, then a death of the holder, then a change of version",
		"candidates", "engines", "store reads a second", "store writes a second", "store bytes a second", "holder's calls to engines a second", "bytes of their answers a second", "takeover", "rollout")
	for _, s := range controllerSizes {
		r.printProgress(fmt.Sprintf("controllers of %d engines", s.Engines))
		c := experiment.Measure(s, seed)
		r.figures.controllers = c
		t.add(formatNumber(float64(s.Candidates)), formatNumber(float64(s.Engines)), formatNumber(c.StoreReads), formatNumber(c.StoreWrites), formatBytes(c.StoreBytes),
			formatNumber(c.EngineCalls), formatBytes(c.EngineBytes), fmt.Sprintf("%.1f s", c.TakeoverSeconds), fmt.Sprintf("%.0f s", c.RolloutSeconds))
	}
}
