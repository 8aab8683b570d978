package wire

// Limits of the parts of a message. The decoder rejects a message that exceeds
// one of them.
const (
	// MaxNameBytes is the maximum length of an address or of the name of a
	// host, a data centre or an upstream.
	MaxNameBytes = 128
	// MaxMembers is the maximum number of member entries, or of their hashes,
	// in one message.
	MaxMembers = 512
	// MaxLoads is the maximum number of upstream loads in one heartbeat.
	MaxLoads = 512
	// MaxUpstreams is the maximum length of each list of upstream names in one
	// heartbeat.
	MaxUpstreams = 128
	// MaxBodyBytes is the maximum length of the body of a TopicMessage.
	MaxBodyBytes = 60 << 10
	// MaxDataCentres is the maximum number of data centres listed in one
	// message.
	MaxDataCentres = 256
)

// State is the state in which one host sees a member.
type State uint8

// The states of a member. Of two entries with the same incarnation and the
// same refutation, the one with the later state in this list overrides the
// other.
const (
	// Alive is the state of a member that answers.
	Alive State = iota
	// Suspect is the state of a member that has been silent for too long, but
	// may still refute that it is dead.
	Suspect
	// Leaving is the state of a member that finishes its work and then stops.
	Leaving
	// Dead is the state of a member whose process has ended or is taken to
	// have ended.
	Dead
)

// String returns the name of the state, or "unknown" for any other value.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is an entry of a host's member table: one member as that host sees it.
type Member struct {
	// Host is the name of the member.
	Host string
	// DataCentre is the name of the member's data centre.
	DataCentre string
	// Address is where the member listens for other hosts, as ip:port.
	Address string
	// Incarnation identifies one run of the member's process; a later run has
	// a higher one.
	Incarnation uint64
	// Refutation is a counter that the member raises to refute a report that
	// it is suspect or dead. It starts at 0 in each incarnation.
	Refutation uint32
	// State is the state of the member.
	State State
}

// UpstreamLoad describes the sender's own work in flight on one upstream.
type UpstreamLoad struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Requests is the number of requests in flight; 0 means that the sender
	// has no work there.
	Requests int
	// PrefillTokens is the number of prompt tokens not yet processed.
	PrefillTokens int
	// LongPromptTokens is the part of PrefillTokens that belongs to long prompts.
	LongPromptTokens int
	// MemoryTokens is the KV memory reserved, in tokens.
	MemoryTokens int
}

// Contact holds the time of the sender's last contact with another data centre.
type Contact struct {
	// DataCentre is the name of the other data centre.
	DataCentre string
	// AgeMillis is the time since that contact, in milliseconds.
	AgeMillis uint32
}

// SectionSummary summarises one section of the member table, that is, the
// entries of all members of one data centre.
type SectionSummary struct {
	// DataCentre is the name of the data centre.
	DataCentre string
	// Hash covers the members that are not dead. Two summaries with different
	// hashes stand for different sets of members.
	Hash uint32
	// VersionSum is the sum of the version numbers of all entries, dead members
	// included. It grows with every update that the table takes in, so the
	// larger of two sums usually belongs to the newer table.
	VersionSum uint64
}

// Message is a message between two hosts: Hello, Ping, Pong, Heartbeat,
// SyncRequest, SyncOffer, SyncFetch, SyncReply or TopicMessage.
type Message interface {
	kind() kind
}

// kind is the byte of a frame that identifies the type of its message.
type kind byte

const (
	kindHello kind = iota + 1
	kindPing
	kindPong
	kindHeartbeat
	kindSyncRequest
	kindSyncOffer
	kindSyncFetch
	kindSyncReply
	kindTopicMessage
)

// Hello is the first message on a connection. It identifies the host that
// opened the connection.
type Hello struct {
	// Address is where the dialling host listens, as ip:port.
	Address string
}

// Ping asks the host at the other end of the connection to send a Pong.
type Ping struct{}

// Pong answers a Ping on the same connection.
type Pong struct{}

// Heartbeat shows that the sender is running and carries its digest: its own
// state, loads and versions.
type Heartbeat struct {
	// Host is the name of the sender.
	Host string
	// Incarnation, Refutation and State are those of the sender itself, as in
	// Member.
	Incarnation uint64
	Refutation  uint32
	State       State
	// Probe asks the receiver to answer with a heartbeat at once.
	Probe bool
	// TableHash is a hash of the sender's member table without the dead
	// members. Between data centres it covers only the members of the sender's
	// own data centre.
	TableHash uint32
	// ConfigVersion is the highest configuration version the sender knows of.
	ConfigVersion uint64
	// Members are entries of the sender's member table that changed recently.
	Members []Member
	// Loads are the sender's loads that changed most since its last heartbeat
	// to the same host. The list is empty between data centres.
	Loads []UpstreamLoad
	// HasUpstreamLists reports whether this heartbeat carries the two lists
	// below. If it is false, the lists received earlier are still valid.
	HasUpstreamLists bool
	// SuspectedUpstreams is the whole list of upstreams that the sender
	// suspects to have failed. It replaces the list received before.
	SuspectedUpstreams []string
	// LeavingUpstreams is the whole list of upstreams that, as far as the
	// sender knows, are about to stop. It replaces the list received before.
	LeavingUpstreams []string
	// Contacts are the data centres from which the sender receives messages
	// itself.
	Contacts []Contact
}

// SyncRequest starts the comparison of two member tables. It carries the
// summaries of the sender's sections and asks the receiver to offer those of
// its own sections that differ.
type SyncRequest struct {
	// Host is the name of the sender.
	Host string
	// Sections are the summaries, one for each data centre.
	Sections []SectionSummary
}

// SyncOffer answers a SyncRequest. It lists the entries of one section by
// their hashes.
type SyncOffer struct {
	// Host is the name of the sender.
	Host string
	// DataCentre identifies the section.
	DataCentre string
	// EntryHashes holds a hash of each entry.
	EntryHashes []uint32
}

// SyncFetch answers a SyncOffer. It asks for the offered entries that the
// sender does not have.
type SyncFetch struct {
	// Host is the name of the sender.
	Host string
	// DataCentre identifies the section.
	DataCentre string
	// EntryHashes holds the hashes of the entries asked for.
	EntryHashes []uint32
}

// SyncReply answers a SyncFetch with the entries asked for.
type SyncReply struct {
	// Host is the name of the sender.
	Host string
	// Members are the entries.
	Members []Member
}

// Topic identifies the component that a TopicMessage is meant for and the type
// of its body. The components choose the values themselves.
type Topic byte

// TopicMessage carries a message of another component. This package does not
// interpret its body.
type TopicMessage struct {
	// Host is the name of the sender.
	Host string
	// Topic determines how the receiver decodes the body.
	Topic Topic
	// Body is the encoded message, at most MaxBodyBytes long.
	Body []byte
}

func (Hello) kind() kind        { return kindHello }
func (Ping) kind() kind         { return kindPing }
func (Pong) kind() kind         { return kindPong }
func (Heartbeat) kind() kind    { return kindHeartbeat }
func (SyncRequest) kind() kind  { return kindSyncRequest }
func (SyncOffer) kind() kind    { return kindSyncOffer }
func (SyncFetch) kind() kind    { return kindSyncFetch }
func (SyncReply) kind() kind    { return kindSyncReply }
func (TopicMessage) kind() kind { return kindTopicMessage }
