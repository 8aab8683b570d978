package capacity

import (
	"fmt"

	"github.com/chestnutline/chestnutline/internal/controller/experiment"
)

// controllerSizes are of one data centre.
var controllerSizes = []experiment.Size{
	{Candidates: 2, Engines: 6, Elsewhere: 21},
	{Candidates: 8, Engines: 80, Elsewhere: 200},
	{Candidates: aimHosts, Engines: aimEngines, Elsewhere: aimNodes + aimServers - aimHosts - aimEngines},
}

func (r *run) controllers() {
	t := r.table("Controllers of one data centre: without faults, then a death of the holder, then a change of version",
		"candidates", "engines", "store reads a second", "store writes a second", "store bytes a second", "holder's calls to engines a second", "bytes of their answers a second", "takeover", "rollout")
	for _, s := range controllerSizes {
		r.tell(fmt.Sprintf("controllers of %d engines", s.Engines))
		c := experiment.Measure(s, seed)
		r.figures.controllers = c
		t.add(count(float64(s.Candidates)), count(float64(s.Engines)), count(c.StoreReads), count(c.StoreWrites), size(c.StoreBytes),
			count(c.EngineCalls), size(c.EngineBytes), fmt.Sprintf("%.1f s", c.TakeoverSeconds), fmt.Sprintf("%.0f s", c.RolloutSeconds))
	}
}
