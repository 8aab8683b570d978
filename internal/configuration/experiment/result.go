package experiment

import (
	"slices"
	"time"
)

func (w *world) result() Result {
	r := Result{
		Hosts:        w.o.Hosts,
		DataCentres:  w.o.DataCentres,
		Seed:         w.o.Seed,
		Changes:      len(w.record.accepted),
		ReadySeconds: w.record.ready.Seconds(),
		Reversions:   w.record.reversions,
		Applied:      w.record.applies,
		StoredBytes:  len(w.store.raw),
	}
	for _, body := range w.store.parts {
		r.StoredBytes += len(body)
	}
	w.summariseChanges(&r)
	w.summariseCalls(&r)
	for _, h := range w.hosts {
		if h.alive() && h.version == 0 {
			r.NotReady++
		}
	}
	measured := (w.o.Length - w.o.Settle).Seconds()
	r.BytesPerSecond = float64(w.record.bytes) / measured / float64(w.o.Hosts)
	return r
}

func (w *world) summariseChanges(r *Result) {
	var times []time.Duration
	for _, c := range w.record.accepted {
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

func (w *world) summariseCalls(r *Result) {
	settled := int(w.o.Settle / time.Second)
	total := 0
	for second, calls := range w.record.calls {
		if second < settled {
			r.StoreCallsAtStart += calls
			continue
		}
		total += calls
		r.StoreCallsPeak = max(r.StoreCallsPeak, calls)
	}
	r.StoreCallsPerSecond = float64(total) / (w.o.Length - w.o.Settle).Seconds()
}
