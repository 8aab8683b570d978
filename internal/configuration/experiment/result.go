package experiment

import (
	"slices"
	"time"
)

// result returns the measurements of the finished run.
func (s *simulation) result() Result {
	r := Result{
		Hosts:        s.options.Hosts,
		DataCentres:  s.options.DataCentres,
		Seed:         s.options.Seed,
		Changes:      len(s.measurements.changes),
		ReadySeconds: s.measurements.longestReady.Seconds(),
		Reversions:   s.measurements.reversions,
		Applied:      s.measurements.applied,
		StoredBytes:  len(s.store.raw),
	}
	for _, body := range s.store.parts {
		r.StoredBytes += len(body)
	}
	s.summariseChanges(&r)
	s.summariseCalls(&r)
	for _, h := range s.hosts {
		if h.alive() && h.version == 0 {
			r.NotReady++
		}
	}
	period := (s.options.Duration - s.options.WarmUp).Seconds()
	r.BytesPerSecond = float64(s.measurements.bytes) / period / float64(s.options.Hosts)
	return r
}

// summariseChanges fills in how long changes took until they were in force on
// all ready hosts.
func (s *simulation) summariseChanges(r *Result) {
	var times []time.Duration
	for _, c := range s.measurements.changes {
		if !c.done {
			r.NotInForce++
			continue
		}
		times = append(times, c.inForce)
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	r.InForceMedianSeconds = times[len(times)/2].Seconds()
	r.InForceSeconds = times[len(times)-1].Seconds()
}

// summariseCalls fills in the numbers of calls to the object API before and
// after the end of WarmUp.
func (s *simulation) summariseCalls(r *Result) {
	warmUp := int(s.options.WarmUp / time.Second)
	total := 0
	for second, calls := range s.measurements.callsPerSecond {
		if second < warmUp {
			r.StoreCallsAtStart += calls
			continue
		}
		total += calls
		r.StoreCallsPeak = max(r.StoreCallsPeak, calls)
	}
	r.StoreCallsPerSecond = float64(total) / (s.options.Duration - s.options.WarmUp).Seconds()
}
