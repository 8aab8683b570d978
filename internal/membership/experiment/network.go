// Package experiment simulates many membership cores on a network in memory
// with a virtual clock. It measures the traffic and the time in which deaths are
// detected, and tests the behaviour in failures. The same options give the same
// run.
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
	// tickInterval is the interval at which Tick of each core is called.
	tickInterval = 100 * time.Millisecond
	// localDelay and remoteDelay are the mean one-way delays of messages within
	// a data centre and between two of them.
	localDelay  = 300 * time.Microsecond
	remoteDelay = 5 * time.Millisecond
)

// Network delivers messages between cores with random delay and loss, and
// advances the virtual time.
type Network struct {
	// LossRate is the probability that a message is lost, from 0 to 1.
	LossRate float64
	// Partitioned, when set, reports whether all messages from one node to
	// another are lost.
	Partitioned func(from, to *Node) bool
	// RewriteReceived, when set, replaces each message that a node receives by
	// its result.
	RewriteReceived func(to *Node, m wire.Message) wire.Message
	// OnEffect, when set, is called with every effect except Send.
	OnEffect func(now time.Duration, host string, e membership.Effect)

	// OnSend, when set, is called with every message that is sent.
	OnSend func(from *Node, m wire.Message)

	now            time.Duration
	rng            *rand.Rand
	nodes          []*Node
	nodesByAddress map[string]*Node
	queue          actionQueue
	lastSequence   uint64
}

// Node is one run of a host's process on the network.
type Node struct {
	// Host identifies the run.
	Host membership.Host
	// Core holds the membership state of the host.
	Core *membership.Core
	// SentBytes and ReceivedBytes count the bytes of the frames that the node
	// has sent and received, lost ones counted as sent.
	SentBytes     int
	ReceivedBytes int
	// Down is true if the process has ended.
	Down bool
	// Paused is true while the process is paused. A paused node neither ticks
	// nor handles messages; those that arrive are held until it continues.
	Paused bool

	// startedAt is the virtual time at which the process started.
	startedAt time.Duration
	// heldMessages are the messages that have arrived during a pause.
	heldMessages []membership.MessageReceived
}

// NewNetwork returns a network without nodes. The seed determines delays, losses
// and the times of ticks.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:            rand.New(rand.NewPCG(seed, seed)),
		nodesByAddress: make(map[string]*Node),
	}
}

// Now returns the virtual time since the network was created.
func (n *Network) Now() time.Duration {
	return n.now
}

// Nodes returns all nodes in the order in which they were added, those that are
// down included.
func (n *Network) Nodes() []*Node {
	return n.nodes
}

// Add starts a host. If another node uses the same address, that node ends and
// the new one takes its place.
func (n *Network) Add(cfg membership.Config) (*Node, error) {
	core, err := membership.New(cfg)
	if err != nil {
		return nil, errors.Wrapf(err, "add host %s", cfg.Self.Name)
	}
	node := &Node{Host: cfg.Self, Core: core, startedAt: n.now}
	if old := n.nodesByAddress[cfg.Self.Address]; old != nil {
		old.Down = true
	}
	n.nodes = append(n.nodes, node)
	n.nodesByAddress[cfg.Self.Address] = node
	n.scheduleAfter(time.Duration(n.rng.Int64N(int64(tickInterval))), func() { n.tick(node) })
	return node, nil
}

// Step passes an event to a node's core and carries out the effects.
func (n *Network) Step(node *Node, e membership.Event) {
	n.executeEffects(node, node.Core.Step(n.now-node.startedAt, e))
}

// Run advances the virtual time by d and runs every action that is due until
// then.
func (n *Network) Run(d time.Duration) {
	end := n.now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := heap.Pop(&n.queue).(action)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// RunUntil advances the virtual time in steps of tickInterval until the
// condition holds or the limit has passed. It returns the time that this took
// and whether the condition held.
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

// tick calls Tick of a node's core, unless the node is paused, and schedules the
// next call. It ends when the node is down.
func (n *Network) tick(node *Node) {
	if node.Down {
		return
	}
	if !node.Paused {
		n.executeEffects(node, node.Core.Tick(n.now-node.startedAt))
		n.deliverHeldMessages(node)
	}
	n.scheduleAfter(tickInterval, func() { n.tick(node) })
}

// deliverHeldMessages delivers the messages that arrived during a pause.
func (n *Network) deliverHeldMessages(node *Node) {
	held := node.heldMessages
	node.heldMessages = nil
	for _, r := range held {
		n.Step(node, r)
	}
}

// executeEffects sends the messages among the effects and passes the other ones
// to OnEffect.
func (n *Network) executeEffects(node *Node, effects []membership.Effect) {
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

// send counts a message and schedules its delivery, unless it is lost or no
// running node uses the address.
func (n *Network) send(from *Node, s membership.Send) {
	frame, err := wire.AppendFrame(nil, s.Message)
	if err != nil {
		panic(fmt.Sprintf("core sent a message that cannot be encoded: %v", err))
	}
	from.SentBytes += len(frame)
	if n.OnSend != nil {
		n.OnSend(from, s.Message)
	}
	to := n.nodesByAddress[s.To]
	if to == nil || to.Down || n.isLost(from, to) {
		return
	}
	n.scheduleAfter(n.delay(from, to), func() { n.deliver(from, to, frame) })
}

// isLost decides whether a message is lost, by partition or at random.
func (n *Network) isLost(from, to *Node) bool {
	if n.Partitioned != nil && n.Partitioned(from, to) {
		return true
	}
	return n.rng.Float64() < n.LossRate
}

// delay draws the delay of a message, from half the mean to one and a half
// times the mean.
func (n *Network) delay(from, to *Node) time.Duration {
	mean := localDelay
	if from.Host.DataCentre != to.Host.DataCentre {
		mean = remoteDelay
	}
	return mean/2 + time.Duration(n.rng.Int64N(int64(mean)))
}

// deliver decodes a frame that has arrived at a node and passes its message to
// the node's core.
func (n *Network) deliver(from, to *Node, frame []byte) {
	if to.Down {
		return
	}
	to.ReceivedBytes += len(frame)
	m, err := wire.ReadFrame(bytes.NewReader(frame))
	if err != nil {
		panic(fmt.Sprintf("a delivered frame cannot be decoded: %v", err))
	}
	if n.RewriteReceived != nil {
		m = n.RewriteReceived(to, m)
	}
	r := membership.MessageReceived{From: from.Host.Address, Message: m}
	if to.Paused {
		to.heldMessages = append(to.heldMessages, r)
		return
	}
	n.Step(to, r)
}

// scheduleAfter schedules a function to run after the virtual time d.
func (n *Network) scheduleAfter(d time.Duration, run func()) {
	n.lastSequence++
	heap.Push(&n.queue, action{at: n.now + d, sequence: n.lastSequence, run: run})
}

// action is a function to run at a virtual time. Actions at the same time run in
// the order of their sequence numbers.
type action struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// actionQueue is a heap of actions with the earliest one first.
type actionQueue []action

func (s actionQueue) Len() int { return len(s) }

func (s actionQueue) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}

func (s actionQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds an action; it is part of heap.Interface.
func (s *actionQueue) Push(x any) { *s = append(*s, x.(action)) }

// Pop removes and returns the last action; it is part of heap.Interface.
func (s *actionQueue) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}
