package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// event is a function that runs at a virtual time. Events of the same time run
// in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// queue is the heap of scheduled events, the earliest first.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// host is a host whose process may end and be started again.
type host struct {
	name       string
	dataCentre string
	index      int
	// incarnation changes with every start and every end of the process. It is
	// odd while a process runs, so that events meant for an earlier process can
	// be dropped.
	incarnation int
	// changedAt is the time of the last start or end of the process, startedAt
	// that of the last start.
	changedAt time.Duration
	startedAt time.Duration
	follower  Follower
	// version is the version in force in the current process, and
	// highestVersion the highest that any process of the host had in force.
	version        uint64
	highestVersion uint64
}

// alive reports whether a process runs on the host.
func (h *host) alive() bool { return h.incarnation%2 == 1 }

// simulation is one run: the fleet, its network, the object API and the virtual
// clock.
type simulation struct {
	options      Options
	random       *rand.Rand
	now          time.Duration
	lastSequence int
	queue        queue
	hosts        []*host
	byName       map[string]*host
	// knownAlive holds, by host index, whether the membership lists the host as
	// live. A process that starts or ends changes it after MembershipLag.
	knownAlive   []bool
	store        *store
	measurements measurements
	err          error
}

// newSimulation returns a simulation in which the first configuration is
// accepted and no process runs yet.
func newSimulation(o Options) (*simulation, error) {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), byName: make(map[string]*host)}
	for i := range o.Hosts {
		h := &host{name: fmt.Sprintf("host-%04d", i), dataCentre: fmt.Sprintf("dc-%02d", i%o.DataCentres), index: i}
		s.hosts = append(s.hosts, h)
		s.byName[h.name] = h
	}
	s.knownAlive = make([]bool, o.Hosts)
	s.store = newStore(s)
	return s, s.store.accept()
}

// after schedules a function to run after the given time.
func (s *simulation) after(wait time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: s.now + wait, sequence: s.lastSequence, run: run})
}

// schedule schedules the starts of all hosts, the changes, the replacements of
// hosts and the first update of the membership.
func (s *simulation) schedule() {
	for _, h := range s.hosts {
		s.after(s.randomDuration(0, time.Second), func() { s.start(h) })
	}
	activePeriod := s.options.Duration - s.options.WarmUp - 10*time.Second
	for i := range s.options.Changes {
		at := s.options.WarmUp + activePeriod*time.Duration(i)/time.Duration(s.options.Changes)
		s.after(at, func() { s.acceptChange() })
	}
	for i, index := range s.random.Perm(s.options.Hosts)[:s.options.ReplacedHosts] {
		at := s.options.WarmUp + activePeriod*time.Duration(i)/time.Duration(s.options.ReplacedHosts)
		s.after(at, func() { s.replace(s.hosts[index]) })
	}
	s.after(0, s.updateMembership)
}

// run runs the scheduled events until the end of the run or the first error.
func (s *simulation) run() error {
	for len(s.queue) > 0 && s.err == nil {
		e := heap.Pop(&s.queue).(event)
		if e.at > s.options.Duration {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.err
}

// randomDuration returns a random duration between least and most, both
// included.
func (s *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// acceptChange accepts one change and records it, unless the object API is
// unavailable.
func (s *simulation) acceptChange() {
	if s.store.inOutage() {
		return
	}
	if err := s.store.accept(); err != nil {
		s.err = err
	}
	s.measurements.changes = append(s.measurements.changes, change{version: s.store.version(), at: s.now})
	s.updateInForce()
}

// start starts a new process on a host, without any state of an earlier one.
func (s *simulation) start(h *host) {
	h.incarnation++
	h.changedAt = s.now
	h.startedAt = s.now
	h.version = 0
	c := configuration.DefaultConfig(h.name, h.dataCentre, s.random.Uint64())
	h.follower = s.options.NewFollower(c)
	s.step(h, configuration.MembersChanged{Members: s.knownMembers()})
	s.tick(h, h.incarnation)
	s.after(s.randomDuration(0, s.options.DigestInterval), func() { s.sendDigest(h, h.incarnation) })
}

// replace ends a host's process without warning and starts a new one a few
// seconds later.
func (s *simulation) replace(h *host) {
	h.incarnation++
	h.changedAt = s.now
	s.store.dropWatch(h)
	s.updateInForce()
	s.after(s.randomDuration(time.Second, 5*time.Second), func() { s.start(h) })
}

// tick sends a Tick to a host's process and schedules the next one, until the
// process ends.
func (s *simulation) tick(h *host, incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	s.step(h, configuration.Tick{})
	s.after(configuration.MaxTickInterval, func() { s.tick(h, incarnation) })
}

// updateMembership brings the list of live hosts to the state of MembershipLag
// ago and sends it to all hosts if it has changed.
func (s *simulation) updateMembership() {
	changed := false
	for i, h := range s.hosts {
		if s.now-h.changedAt >= s.options.MembershipLag && s.knownAlive[i] != h.alive() {
			s.knownAlive[i] = h.alive()
			changed = true
		}
	}
	if changed {
		members := s.knownMembers()
		for _, h := range s.hosts {
			s.deliver(h, h.incarnation, configuration.MembersChanged{Members: members})
		}
	}
	s.after(time.Second, s.updateMembership)
}

// knownMembers returns the hosts that the membership lists as live.
func (s *simulation) knownMembers() []configuration.Member {
	var members []configuration.Member
	for i, h := range s.hosts {
		if s.knownAlive[i] {
			members = append(members, configuration.Member{Host: h.name, DataCentre: h.dataCentre})
		}
	}
	return members
}

// deliver passes an event to a host if the process for which it is meant still
// runs.
func (s *simulation) deliver(h *host, incarnation int, e configuration.Event) {
	if h.incarnation == incarnation && h.alive() {
		s.step(h, e)
	}
}

// step passes an event to a host's Follower and carries out the effects.
func (s *simulation) step(h *host, e configuration.Event) {
	for _, effect := range h.follower.Step(s.now, e) {
		s.carryOut(h, effect)
	}
}

// carryOut carries out an effect of a host's Follower.
func (s *simulation) carryOut(h *host, effect configuration.Effect) {
	switch effect := effect.(type) {
	case configuration.StartWatch:
		s.store.watch(h, effect)
	case configuration.CancelWatch:
		s.store.dropWatch(h)
	case configuration.FetchFromStore:
		s.store.fetch(h, effect)
	case configuration.FetchFromPeer:
		s.request(h, effect)
	case configuration.Announce:
		s.announce(h, effect)
	case configuration.Apply:
		s.recordApply(h, effect.Version)
	}
}
