package host

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/claim"
	"github.com/chestnutline/chestnutline/internal/peer"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Topics of claims between hosts; those of the control thread are lower.
const (
	topicClaimRequest wire.Topic = 64 + iota
	topicClaimReply
)

// maxServing bounds the claims of other hosts that are served at a time; more
// are dropped, and their senders write by themselves.
const maxServing = 512

// claimPeers brings claims to the host that writes their object, so that many
// ride on one write. It is the claim.Peers of the process.
type claimPeers struct {
	host    string
	self    string
	sender  peer.Sender
	claimer *claim.Claimer
	next    atomic.Uint64
	serving atomic.Int64

	mu      sync.Mutex
	alive   map[string]string
	owners  []string
	waiting map[uint64]chan claim.Reply
}

// claimRequest and claimReply are the bodies of the messages.
type claimRequest struct {
	ID      uint64
	Request claim.Request
}

type claimReply struct {
	ID    uint64
	Reply claim.Reply
}

func newClaimPeers(host, self string) *claimPeers {
	return &claimPeers{
		host:    host,
		self:    self,
		alive:   make(map[string]string),
		owners:  []string{self},
		waiting: make(map[uint64]chan claim.Reply),
	}
}

// memberChanged keeps the addresses of the hosts that may own objects.
func (p *claimPeers) memberChanged(host, address string, state wire.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.alive, host)
	if state == wire.Alive {
		p.alive[host] = address
	}
	p.owners = append(p.owners[:0:0], p.self)
	for _, address := range p.alive {
		p.owners = append(p.owners, address)
	}
	slices.Sort(p.owners)
}

// Owner implements claim.Peers.
func (p *claimPeers) Owner(object string) string {
	p.mu.Lock()
	owners := p.owners
	p.mu.Unlock()
	owner := claim.OwnerOf(object, owners)
	if owner == p.self {
		return ""
	}
	return owner
}

// Forward implements claim.Peers.
func (p *claimPeers) Forward(ctx context.Context, address string, r claim.Request) (claim.Reply, error) {
	id := p.next.Add(1)
	if err := p.post(address, topicClaimRequest, claimRequest{ID: id, Request: r}, id); err != nil {
		return claim.Reply{}, err
	}
	defer p.forget(id)
	select {
	case reply := <-p.answer(id):
		return reply, nil
	case <-ctx.Done():
		return claim.Reply{}, errors.Wrapf(ctx.Err(), "forward a claim to %s", address)
	}
}

// post registers for the reply, if id is above 0, and sends.
func (p *claimPeers) post(address string, topic wire.Topic, message any, id uint64) error {
	body, err := msgpack.Marshal(message)
	if err != nil || len(body) > wire.MaxBodyBytes {
		return errors.Wrapf(claim.ErrNotSent, "encode a claim of %d bytes: %v", len(body), err)
	}
	if id > 0 {
		p.mu.Lock()
		p.waiting[id] = make(chan claim.Reply, 1)
		p.mu.Unlock()
	}
	p.sender.Send(address, wire.TopicMessage{Host: p.host, Topic: topic, Body: body})
	return nil
}

func (p *claimPeers) answer(id uint64) <-chan claim.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[id]
}

func (p *claimPeers) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// receive handles a message about claims; false means that it is none. One
// that can't be decoded is dropped, as if lost.
func (p *claimPeers) receive(from string, m wire.Message) bool {
	carried, ok := m.(wire.TopicMessage)
	if !ok {
		return false
	}
	switch carried.Topic {
	case topicClaimRequest:
		p.request(from, carried.Body)
	case topicClaimReply:
		p.reply(carried.Body)
	default:
		return false
	}
	return true
}

func (p *claimPeers) request(from string, body []byte) {
	var r claimRequest
	if p.claimer == nil || msgpack.Unmarshal(body, &r) != nil {
		return
	}
	if p.serving.Add(1) > maxServing {
		p.serving.Add(-1)
		return
	}
	go func() {
		defer p.serving.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), r.Request.Patience)
		defer cancel()
		reply := p.claimer.Serve(ctx, r.Request)
		_ = p.post(from, topicClaimReply, claimReply{ID: r.ID, Reply: reply}, 0)
	}()
}

func (p *claimPeers) reply(body []byte) {
	var r claimReply
	if msgpack.Unmarshal(body, &r) != nil {
		return
	}
	p.mu.Lock()
	answer, waiting := p.waiting[r.ID]
	p.mu.Unlock()
	if !waiting {
		return
	}
	select {
	case answer <- r.Reply:
	default:
	}
}
