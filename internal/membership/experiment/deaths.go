package experiment

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// detection identifies the event that one host (the observer) sees another one
// (the victim) as dead.
type detection struct {
	observer, victim string
}

// measureDeaths ends hosts one after the other and measures the time until each
// running host sees them as dead.
func (r *measurement) measureDeaths() {
	const spacing = time.Second
	diedAt := make(map[string]time.Duration)
	detectedAt := make(map[detection]time.Duration)
	r.OnEffect = func(now time.Duration, host string, e membership.Effect) {
		m, ok := e.(membership.MemberChanged)
		key := detection{observer: host, victim: m.Host}
		if _, died := diedAt[m.Host]; !ok || !died || m.State != wire.Dead {
			return
		}
		if _, known := detectedAt[key]; !known {
			detectedAt[key] = now
		}
	}
	victims := r.chooseVictims()
	for _, victim := range victims {
		victim.Down = true
		diedAt[victim.Host.Name] = r.Now()
		r.Run(spacing + time.Duration(r.rng.Int64N(int64(spacing))))
	}
	r.RunUntil(r.options.OutcomeTimeout, func() bool { return r.allDetected(victims, detectedAt) })
	r.OnEffect = nil
	r.recordDetections(diedAt, detectedAt)
}

// allDetected reports whether every running host sees every victim as dead.
func (r *measurement) allDetected(victims []*Node, detectedAt map[detection]time.Duration) bool {
	for _, observer := range r.Running() {
		for _, victim := range victims {
			if _, ok := detectedAt[detection{observer: observer.Host.Name, victim: victim.Host.Name}]; !ok {
				return false
			}
		}
	}
	return true
}

// chooseVictims returns the hosts to end, taken from all data centres in turn.
// It leaves at least one host running in each data centre.
func (r *measurement) chooseVictims() []*Node {
	limit := r.options.Hosts/r.options.DataCentres - 1
	count := min(r.options.DeathCount, limit*r.options.DataCentres)
	return r.Nodes()[:max(count, 0)]
}

// recordDetections adds the detection times and the missed detections to the
// result.
func (r *measurement) recordDetections(diedAt map[string]time.Duration, detectedAt map[detection]time.Duration) {
	var sameDataCentre []float64
	for _, victim := range r.Nodes() {
		died, ok := diedAt[victim.Host.Name]
		if !ok {
			continue
		}
		for _, observer := range r.Running() {
			detected, ok := detectedAt[detection{observer: observer.Host.Name, victim: victim.Host.Name}]
			if !ok {
				r.result.MissedDetections++
				continue
			}
			took := (detected - died).Seconds()
			r.result.EverywhereSecondsMax = max(r.result.EverywhereSecondsMax, took)
			if observer.Host.DataCentre == victim.Host.DataCentre {
				sameDataCentre = append(sameDataCentre, took)
			}
		}
	}
	if len(sameDataCentre) > 0 {
		sort.Float64s(sameDataCentre)
		r.result.DetectionSecondsP50 = sameDataCentre[len(sameDataCentre)/2]
		r.result.DetectionSecondsMax = sameDataCentre[len(sameDataCentre)-1]
	}
}

// measureMassLeaveAndJoin makes a third of the hosts leave at once and then
// starts them again, and measures both changes.
func (r *measurement) measureMassLeaveAndJoin() error {
	running := r.Running()
	leaving := running[:len(running)/leaveDivisor]
	for _, node := range leaving {
		r.Step(node, membership.Leave{})
	}
	r.result.Leave = r.waitForAgreement(
		func() bool { return r.allSeenLeaving(leaving, true) },
		func() bool { return r.allSeenLeaving(leaving, false) },
	)
	for _, node := range leaving {
		r.Step(node, membership.Stop{})
		r.Run(r.stopSpacing())
		node.Down = true
	}
	r.Run(time.Second)
	for _, node := range leaving {
		if _, err := r.Start(r.listIndex(node)); err != nil {
			return errors.Wrapf(err, "start %s again", node.Host.Name)
		}
	}
	r.result.Join = r.waitForAgreement(r.ViewsAgreeWithinDataCentres, r.ViewsAgree)
	return nil
}

// stopSpacing draws the time between the ends of two processes, so that the ends
// of all processes are spread over some seconds.
func (r *measurement) stopSpacing() time.Duration {
	const longest = 100 * time.Millisecond
	return time.Duration(r.rng.Int64N(int64(longest)))
}

// listIndex returns the index of a node's host in the platform's list, or -1 if
// the list does not contain it.
func (r *measurement) listIndex(node *Node) int {
	for i, l := range r.HostList.Hosts {
		if l.Name == node.Host.Name {
			return i
		}
	}
	return -1
}

// allSeenLeaving reports whether every running host sees all leaving hosts as
// leaving or dead. If withinDataCentre is true, each host is checked only for
// the leaving hosts of its own data centre.
func (r *measurement) allSeenLeaving(leaving []*Node, withinDataCentre bool) bool {
	for _, node := range r.Running() {
		states := make(map[string]wire.State)
		for _, m := range node.Core.Members() {
			states[m.Host] = m.State
		}
		for _, leavingNode := range leaving {
			mustSee := leavingNode != node && (!withinDataCentre || leavingNode.Host.DataCentre == node.Host.DataCentre)
			if mustSee && states[leavingNode.Host.Name] < wire.Leaving {
				return false
			}
		}
	}
	return true
}
