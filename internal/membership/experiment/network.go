// Package experiment runs many membership cores on a network in memory under
// a virtual clock, to measure traffic and detection and to test failures. A
// run depends only on its options.
package experiment

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// tickInterval is how often each core's Tick is called.
	tickInterval = 100 * time.Millisecond
	// localDelay and remoteDelay are mean one-way delays within and between
	// data centres.
	localDelay  = 300 * time.Microsecond
	remoteDelay = 5 * time.Millisecond
)

// Network carries messages between cores.
type Network struct {
	// Loss is the share of messages lost, from 0 to 1.
	Loss float64
	// Separated, when set, tells that messages between two nodes are lost.
	Separated func(from, to *Node) bool
	// Rewrite, when set, changes what a node receives.
	Rewrite func(to *Node, m wire.Message) wire.Message
	// OnEffect, when set, sees every effect but Send.
	OnEffect func(now time.Duration, host string, e membership.Effect)

	// OnSend, when set, sees every message sent.
	OnSend func(from *Node, m wire.Message)

	now    time.Duration
	rng    *rand.Rand
	nodes  []*Node
	byAddr map[string]*Node
	queue  schedule
	seq    uint64
}

// Node is one host of the network.
type Node struct {
	Host membership.Host
	Core *membership.Core
	// SentBytes and Received count bytes of frames.
	SentBytes     int
	ReceivedBytes int
	// Down says that the process is gone.
	Down bool
	// Frozen says that the process is paused: it neither ticks nor takes
	// messages, and what arrives waits.
	Frozen bool

	started time.Duration
	waiting []membership.MessageReceived
}

// NewNetwork returns an empty network.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		byAddr: make(map[string]*Node),
	}
}

// Now returns the virtual time.
func (n *Network) Now() time.Duration {
	return n.now
}

// Nodes returns all nodes that were added, in that order.
func (n *Network) Nodes() []*Node {
	return n.nodes
}

// Add starts a host. One at an address in use takes its place.
func (n *Network) Add(cfg membership.Config) (*Node, error) {
	core, err := membership.New(cfg)
	if err != nil {
		return nil, errors.Wrapf(err, "add host %s", cfg.Self.Name)
	}
	node := &Node{Host: cfg.Self, Core: core, started: n.now}
	if old := n.byAddr[cfg.Self.Address]; old != nil {
		old.Down = true
	}
	n.nodes = append(n.nodes, node)
	n.byAddr[cfg.Self.Address] = node
	n.after(time.Duration(n.rng.Int64N(int64(tickInterval))), func() { n.tick(node) })
	return node, nil
}

// Step passes an event to a node.
func (n *Network) Step(node *Node, e membership.Event) {
	n.carryOut(node, node.Core.Step(n.now-node.started, e))
}

// Run lets the virtual time pass.
func (n *Network) Run(d time.Duration) {
	end := n.now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := heap.Pop(&n.queue).(action)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// RunUntil lets time pass until the condition holds, at most limit, and
// returns how long that took and whether it held.
func (n *Network) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := n.now
	for n.now-start < limit {
		if condition() {
			return n.now - start, true
		}
		n.Run(tickInterval)
	}
	return limit, condition()
}

func (n *Network) tick(node *Node) {
	if node.Down {
		return
	}
	if !node.Frozen {
		n.carryOut(node, node.Core.Tick(n.now-node.started))
		n.deliverWaiting(node)
	}
	n.after(tickInterval, func() { n.tick(node) })
}

func (n *Network) deliverWaiting(node *Node) {
	waiting := node.waiting
	node.waiting = nil
	for _, r := range waiting {
		n.Step(node, r)
	}
}

func (n *Network) carryOut(node *Node, effects []membership.Effect) {
	for _, e := range effects {
		if send, ok := e.(membership.Send); ok {
			n.send(node, send)
			continue
		}
		if n.OnEffect != nil {
			n.OnEffect(n.now, node.Host.Name, e)
		}
	}
}

func (n *Network) send(from *Node, s membership.Send) {
	frame, err := wire.AppendFrame(nil, s.Message)
	if err != nil {
		panic(fmt.Sprintf("core sent a message that cannot be encoded: %v", err))
	}
	from.SentBytes += len(frame)
	if n.OnSend != nil {
		n.OnSend(from, s.Message)
	}
	to := n.byAddr[s.To]
	if to == nil || to.Down || n.lost(from, to) {
		return
	}
	n.after(n.delay(from, to), func() { n.arrive(from, to, frame) })
}

func (n *Network) lost(from, to *Node) bool {
	if n.Separated != nil && n.Separated(from, to) {
		return true
	}
	return n.rng.Float64() < n.Loss
}

func (n *Network) delay(from, to *Node) time.Duration {
	mean := localDelay
	if from.Host.DataCentre != to.Host.DataCentre {
		mean = remoteDelay
	}
	return mean/2 + time.Duration(n.rng.Int64N(int64(mean)))
}

func (n *Network) arrive(from, to *Node, frame []byte) {
	if to.Down {
		return
	}
	to.ReceivedBytes += len(frame)
	m, err := wire.ReadFrame(bytes.NewReader(frame))
	if err != nil {
		panic(fmt.Sprintf("a frame does not survive the network: %v", err))
	}
	if n.Rewrite != nil {
		m = n.Rewrite(to, m)
	}
	r := membership.MessageReceived{From: from.Host.Address, Message: m}
	if to.Frozen {
		to.waiting = append(to.waiting, r)
		return
	}
	n.Step(to, r)
}

func (n *Network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, action{at: n.now + d, seq: n.seq, run: run})
}

// action is something that happens at a time; seq orders equal times.
type action struct {
	at  time.Duration
	seq uint64
	run func()
}

type schedule []action

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(action)) }

// Pop is part of heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}
