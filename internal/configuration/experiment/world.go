package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// event is something due at a virtual time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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

// host is one place for a process, which may die and start again.
type host struct {
	name       string
	dataCentre string
	index      int
	// incarnation tells the processes of a host apart; odd while one runs.
	incarnation int
	changedAt   time.Duration
	startedAt   time.Duration
	follower    Follower
	// version is in force, best the highest that ever was.
	version uint64
	best    uint64
}

func (h *host) alive() bool { return h.incarnation%2 == 1 }

type world struct {
	o       Options
	random  *rand.Rand
	now     time.Duration
	order   int
	queue   queue
	hosts   []*host
	byName  map[string]*host
	believe []bool
	store   *store
	record  record
	err     error
}

func newWorld(o Options) (*world, error) {
	w := &world{o: o, random: rand.New(rand.NewPCG(o.Seed, 0)), byName: make(map[string]*host)}
	for i := range o.Hosts {
		h := &host{name: fmt.Sprintf("host-%04d", i), dataCentre: fmt.Sprintf("dc-%02d", i%o.DataCentres), index: i}
		w.hosts = append(w.hosts, h)
		w.byName[h.name] = h
	}
	w.believe = make([]bool, o.Hosts)
	w.store = newStore(w)
	return w, w.store.accept()
}

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + wait, order: w.order, run: run})
}

// plan sets the starts, deaths, changes and rounds of the run.
func (w *world) plan() {
	for _, h := range w.hosts {
		w.after(w.between(0, time.Second), func() { w.start(h) })
	}
	busy := w.o.Length - w.o.Settle - 10*time.Second
	for i := range w.o.Changes {
		at := w.o.Settle + busy*time.Duration(i)/time.Duration(w.o.Changes)
		w.after(at, func() { w.change() })
	}
	for i, index := range w.random.Perm(w.o.Hosts)[:w.o.Replaced] {
		at := w.o.Settle + busy*time.Duration(i)/time.Duration(w.o.Replaced)
		w.after(at, func() { w.replace(w.hosts[index]) })
	}
	w.after(0, w.tellMembers)
}

func (w *world) run() error {
	for len(w.queue) > 0 && w.err == nil {
		e := heap.Pop(&w.queue).(event)
		if e.at > w.o.Length {
			break
		}
		w.now = e.at
		e.run()
	}
	return w.err
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) change() {
	if w.store.down() {
		return
	}
	if err := w.store.accept(); err != nil {
		w.err = err
	}
	w.record.accepted = append(w.record.accepted, change{version: w.store.version(), at: w.now})
	w.settle()
}

func (w *world) start(h *host) {
	h.incarnation++
	h.changedAt = w.now
	h.startedAt = w.now
	h.version = 0
	c := configuration.DefaultConfig(h.name, h.dataCentre, w.random.Uint64())
	h.follower = w.o.New(c)
	w.step(h, configuration.MembersChanged{Members: w.believed()})
	w.tick(h, h.incarnation)
	w.after(w.between(0, w.o.DigestEvery), func() { w.digest(h, h.incarnation) })
}

// replace ends a host's process without warning and starts a new one later.
func (w *world) replace(h *host) {
	h.incarnation++
	h.changedAt = w.now
	w.store.forget(h)
	w.settle()
	w.after(w.between(time.Second, 5*time.Second), func() { w.start(h) })
}

func (w *world) tick(h *host, incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	w.step(h, configuration.Tick{})
	w.after(configuration.MaxTickInterval, func() { w.tick(h, incarnation) })
}

// tellMembers gives every host the list as it was MembershipLag ago.
func (w *world) tellMembers() {
	changed := false
	for i, h := range w.hosts {
		if w.now-h.changedAt >= w.o.MembershipLag && w.believe[i] != h.alive() {
			w.believe[i] = h.alive()
			changed = true
		}
	}
	if changed {
		members := w.believed()
		for _, h := range w.hosts {
			w.deliver(h, h.incarnation, configuration.MembersChanged{Members: members})
		}
	}
	w.after(time.Second, w.tellMembers)
}

func (w *world) believed() []configuration.Member {
	var members []configuration.Member
	for i, h := range w.hosts {
		if w.believe[i] {
			members = append(members, configuration.Member{Host: h.name, DataCentre: h.dataCentre})
		}
	}
	return members
}

// deliver hands an event to a host if its process still runs.
func (w *world) deliver(h *host, incarnation int, e configuration.Event) {
	if h.incarnation == incarnation && h.alive() {
		w.step(h, e)
	}
}

func (w *world) step(h *host, e configuration.Event) {
	for _, effect := range h.follower.Step(w.now, e) {
		w.do(h, effect)
	}
}

func (w *world) do(h *host, effect configuration.Effect) {
	switch effect := effect.(type) {
	case configuration.StartWatch:
		w.store.watch(h, effect)
	case configuration.CancelWatch:
		w.store.forget(h)
	case configuration.FetchFromStore:
		w.store.fetch(h, effect)
	case configuration.FetchFromPeer:
		w.request(h, effect)
	case configuration.Announce:
		w.announce(h, effect)
	case configuration.Apply:
		w.applied(h, effect.Version)
	}
}
