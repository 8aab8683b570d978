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

// Topics of the messages about claims. The router's core uses lower values for
// its own topics.
const (
	topicClaimRequest wire.Topic = 64 + iota
	topicClaimReply
)

// maxConcurrentRequests bounds the requests of other hosts that are served at
// the same time. Further requests are dropped. A host that gets no reply writes
// its next claims to the store itself for a while.
const maxConcurrentRequests = 512

// claimPeers forwards claims to the host that owns their object, and serves the
// claims that other hosts forward to this one. With one writer per object, many
// claims are stored by one write. It implements claim.Peers.
type claimPeers struct {
	// host is the name of this host and selfAddress its address for other
	// hosts.
	host        string
	selfAddress string
	sender      peer.Sender
	// claimer serves the requests of other hosts; it is nil when this host
	// makes no claims.
	claimer *claim.Claimer
	// lastID is the ID of the last request sent; IDs start at 1.
	lastID atomic.Uint64
	// inProgress counts the requests of other hosts that are being served.
	inProgress atomic.Int64

	mu sync.Mutex
	// aliveAddresses holds the addresses of the other alive hosts, by name.
	aliveAddresses map[string]string
	// ownerAddresses holds the addresses of all hosts that may own objects,
	// this host included, in order. The slice is replaced and never changed, so
	// a reader may go on using it after releasing the lock.
	ownerAddresses []string
	// pendingReplies holds a channel with room for one reply for each request
	// that waits for its reply, by ID.
	pendingReplies map[uint64]chan claim.Reply
}

// claimRequest is the body of a message that forwards a claim. Its fields and
// those of claimReply are encoded under their names.
type claimRequest struct {
	ID      uint64
	Request claim.Request
}

// claimReply is the body of the message that answers the claimRequest of the
// same ID.
type claimReply struct {
	ID    uint64
	Reply claim.Reply
}

// newClaimPeers returns a claimPeers that knows no other host. The caller must
// set the sender and the claimer before messages arrive.
func newClaimPeers(host, selfAddress string) *claimPeers {
	return &claimPeers{
		host:           host,
		selfAddress:    selfAddress,
		aliveAddresses: make(map[string]string),
		ownerAddresses: []string{selfAddress},
		pendingReplies: make(map[uint64]chan claim.Reply),
	}
}

// updateMember updates the addresses of the hosts that may own objects: this
// host and the alive ones.
func (p *claimPeers) updateMember(host, address string, state wire.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.aliveAddresses, host)
	if state == wire.Alive {
		p.aliveAddresses[host] = address
	}
	p.ownerAddresses = append(p.ownerAddresses[:0:0], p.selfAddress)
	for _, address := range p.aliveAddresses {
		p.ownerAddresses = append(p.ownerAddresses, address)
	}
	slices.Sort(p.ownerAddresses)
}

// Owner implements claim.Peers.
func (p *claimPeers) Owner(object string) string {
	p.mu.Lock()
	owners := p.ownerAddresses
	p.mu.Unlock()
	owner := claim.OwnerOf(object, owners)
	if owner == p.selfAddress {
		return ""
	}
	return owner
}

// Forward implements claim.Peers.
func (p *claimPeers) Forward(ctx context.Context, address string, r claim.Request) (claim.Reply, error) {
	id := p.lastID.Add(1)
	if err := p.send(address, topicClaimRequest, claimRequest{ID: id, Request: r}, id); err != nil {
		return claim.Reply{}, err
	}
	defer p.removePendingReply(id)
	select {
	case reply := <-p.replyChannel(id):
		return reply, nil
	case <-ctx.Done():
		return claim.Reply{}, errors.Wrapf(ctx.Err(), "forward a claim to %s", address)
	}
}

// send encodes and sends a message. If id is above 0, it first registers a
// channel for the reply.
func (p *claimPeers) send(address string, topic wire.Topic, message any, id uint64) error {
	body, err := msgpack.Marshal(message)
	if err != nil || len(body) > wire.MaxBodyBytes {
		return errors.Wrapf(claim.ErrNotSent, "encode a claim of %d bytes: %v", len(body), err)
	}
	if id > 0 {
		p.mu.Lock()
		p.pendingReplies[id] = make(chan claim.Reply, 1)
		p.mu.Unlock()
	}
	p.sender.Send(address, wire.TopicMessage{Host: p.host, Topic: topic, Body: body})
	return nil
}

// replyChannel returns the channel for the reply to a request.
func (p *claimPeers) replyChannel(id uint64) <-chan claim.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pendingReplies[id]
}

// removePendingReply drops the channel for a reply that is no longer awaited.
func (p *claimPeers) removePendingReply(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingReplies, id)
}

// handleMessage handles a message about claims. It returns false if the message
// is about something else. A message that cannot be decoded is dropped, as if
// it were lost.
func (p *claimPeers) handleMessage(from string, m wire.Message) bool {
	message, ok := m.(wire.TopicMessage)
	if !ok {
		return false
	}
	switch message.Topic {
	case topicClaimRequest:
		p.handleRequest(from, message.Body)
	case topicClaimReply:
		p.handleReply(message.Body)
	default:
		return false
	}
	return true
}

// handleRequest serves a request of another host on a goroutine of its own and
// sends the reply. The work on a request ends after Request.Patience, when the
// sender no longer waits for the reply.
func (p *claimPeers) handleRequest(from string, body []byte) {
	var r claimRequest
	if p.claimer == nil || msgpack.Unmarshal(body, &r) != nil {
		return
	}
	if p.inProgress.Add(1) > maxConcurrentRequests {
		p.inProgress.Add(-1)
		return
	}
	go func() {
		defer p.inProgress.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), r.Request.Patience)
		defer cancel()
		reply := p.claimer.Serve(ctx, r.Request)
		_ = p.send(from, topicClaimReply, claimReply{ID: r.ID, Reply: reply}, 0)
	}()
}

// handleReply passes a reply on to the request that waits for it. A reply that
// comes too late, or a second reply, is dropped.
func (p *claimPeers) handleReply(body []byte) {
	var r claimReply
	if msgpack.Unmarshal(body, &r) != nil {
		return
	}
	p.mu.Lock()
	replies, pending := p.pendingReplies[r.ID]
	p.mu.Unlock()
	if !pending {
		return
	}
	select {
	case replies <- r.Reply:
	default:
	}
}
