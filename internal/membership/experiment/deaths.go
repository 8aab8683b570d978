package experiment

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// observation is one host's finding that another is dead.
type observation struct {
	observer, victim string
}

// deaths kills hosts one after the other and times who finds out when.
func (r *run) deaths() {
	const spacing = time.Second
	diedAt := make(map[string]time.Duration)
	foundAt := make(map[observation]time.Duration)
	r.OnEffect = func(now time.Duration, host string, e membership.Effect) {
		m, ok := e.(membership.MemberChanged)
		key := observation{observer: host, victim: m.Host}
		if _, died := diedAt[m.Host]; !ok || !died || m.State != wire.Dead {
			return
		}
		if _, known := foundAt[key]; !known {
			foundAt[key] = now
		}
	}
	victims := r.victims()
	for _, victim := range victims {
		victim.Down = true
		diedAt[victim.Host.Name] = r.Now()
		r.Run(spacing + time.Duration(r.rng.Int64N(int64(spacing))))
	}
	r.RunUntil(r.o.Limit, func() bool { return r.allFound(victims, foundAt) })
	r.OnEffect = nil
	r.report(diedAt, foundAt)
}

func (r *run) allFound(victims []*Node, foundAt map[observation]time.Duration) bool {
	for _, observer := range r.Running() {
		for _, victim := range victims {
			if _, ok := foundAt[observation{observer: observer.Host.Name, victim: victim.Host.Name}]; !ok {
				return false
			}
		}
	}
	return true
}

// victims takes hosts of all data centres in turn, none of them the last.
func (r *run) victims() []*Node {
	most := r.o.Hosts/r.o.DataCentres - 1
	count := min(r.o.Deaths, most*r.o.DataCentres)
	return r.Nodes()[:max(count, 0)]
}

func (r *run) report(diedAt map[string]time.Duration, foundAt map[observation]time.Duration) {
	var own []float64
	for _, victim := range r.Nodes() {
		died, ok := diedAt[victim.Host.Name]
		if !ok {
			continue
		}
		for _, observer := range r.Running() {
			found, ok := foundAt[observation{observer: observer.Host.Name, victim: victim.Host.Name}]
			if !ok {
				r.result.Missed++
				continue
			}
			took := (found - died).Seconds()
			r.result.EverywhereMax = max(r.result.EverywhereMax, took)
			if observer.Host.DataCentre == victim.Host.DataCentre {
				own = append(own, took)
			}
		}
	}
	if len(own) > 0 {
		sort.Float64s(own)
		r.result.DetectionP50 = own[len(own)/2]
		r.result.DetectionMax = own[len(own)-1]
	}
}

// massLeaveAndJoin lets a third of the hosts leave at once, then start again.
func (r *run) massLeaveAndJoin() error {
	up := r.Running()
	going := up[:len(up)/leaveShare]
	for _, node := range going {
		r.Step(node, membership.Leave{})
	}
	r.result.Leave = r.settle(
		func() bool { return r.allLeft(going, true) },
		func() bool { return r.allLeft(going, false) },
	)
	for _, node := range going {
		r.Step(node, membership.Stop{})
		r.Run(r.stopSpacing())
		node.Down = true
	}
	r.Run(time.Second)
	for _, node := range going {
		if _, err := r.Start(r.index(node)); err != nil {
			return errors.Wrapf(err, "start %s again", node.Host.Name)
		}
	}
	r.result.Join = r.settle(r.AgreeInside, r.Agree)
	return nil
}

// stopSpacing spreads the ends of processes over some seconds.
func (r *run) stopSpacing() time.Duration {
	const longest = 100 * time.Millisecond
	return time.Duration(r.rng.Int64N(int64(longest)))
}

func (r *run) index(node *Node) int {
	for i, l := range r.Listing.Hosts {
		if l.Name == node.Host.Name {
			return i
		}
	}
	return -1
}

// allLeft tells whether every running host sees all the leaving ones, or those
// of its own data centre, as such.
func (r *run) allLeft(going []*Node, inside bool) bool {
	for _, node := range r.Running() {
		states := make(map[string]wire.State)
		for _, m := range node.Core.Members() {
			states[m.Host] = m.State
		}
		for _, left := range going {
			concerned := left != node && (!inside || left.Host.DataCentre == node.Host.DataCentre)
			if concerned && states[left.Host.Name] < wire.Leaving {
				return false
			}
		}
	}
	return true
}
