package wire

// Bounds of what a message may hold; a message beyond them is refused.
const (
	// MaxNameBytes bounds names of hosts, data centres and upstreams, and addresses.
	MaxNameBytes = 128
	// MaxMembers bounds the member entries of one message.
	MaxMembers = 512
	// MaxLoads bounds the upstream loads of one heartbeat.
	MaxLoads = 512
	// MaxUpstreams bounds each list of upstream names of one heartbeat.
	MaxUpstreams = 128
	// MaxBodyBytes bounds the body of a Carried message.
	MaxBodyBytes = 60 << 10
	// MaxDataCentres bounds the data centres of one message.
	MaxDataCentres = 256
)

// State is what is believed of a member.
type State uint8

// States of a member, in the order in which a later one overrides an earlier
// one of the same incarnation and refutation.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the state's name.
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

// Member is what one host says about a member.
type Member struct {
	Host       string
	DataCentre string
	// Address is where the member listens for other hosts, as ip:port.
	Address string
	// Incarnation identifies one run of the member's process.
	Incarnation uint64
	// Refutation rises when the member denies a suspicion or its death.
	Refutation uint32
	State      State
}

// UpstreamLoad is the sender's work in flight on one upstream. Requests 0
// means none.
type UpstreamLoad struct {
	Upstream string
	Requests int
	// PrefillTokens is the number of prompt tokens not yet processed.
	PrefillTokens int
	// LongPromptTokens is the part of PrefillTokens that belongs to long prompts.
	LongPromptTokens int
	// MemoryTokens is the KV memory reserved.
	MemoryTokens int
}

// Contact tells when the sender's data centre last heard from another one.
type Contact struct {
	DataCentre string
	// AgeMillis is the time since then, in milliseconds.
	AgeMillis uint32
}

// Section sums up one data centre's part of the member table.
type Section struct {
	DataCentre string
	// Hash differs when the members that are not dead differ.
	Hash uint32
	// Weight grows with everything learned about the members.
	Weight uint64
}

// Message is one of Hello, Ping, Pong, Heartbeat, SyncRequest, SyncOffer,
// SyncWant and SyncReply.
type Message interface {
	kind() kind
}

type kind byte

const (
	kindHello kind = iota + 1
	kindPing
	kindPong
	kindHeartbeat
	kindSyncRequest
	kindSyncOffer
	kindSyncWant
	kindSyncReply
	kindTopicMessage
)

// Hello is the first frame of a connection and tells who dialled.
type Hello struct {
	// Address is where the dialling host listens, as ip:port.
	Address string
}

// Ping asks the other end of a connection for a Pong.
type Ping struct{}

// Pong answers a Ping on the same connection.
type Pong struct{}

// Heartbeat tells that the sender lives and carries its digest.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Refutation  uint32
	State       State
	// Probe asks for a heartbeat in answer, at once.
	Probe bool
	// TableHash covers the sender's table of members that are not dead.
	TableHash uint32
	// ConfigVersion is the highest configuration version the sender knows of.
	ConfigVersion uint64
	// Members are entries that changed lately.
	Members []Member
	// Loads are the sender's loads that changed most since its last heartbeat
	// to the same host. Empty between data centres.
	Loads []UpstreamLoad
	// Listing says that Suspected and Leaving are the sender's whole lists of
	// upstreams of which it believes so; otherwise they are as told before.
	Listing   bool
	Suspected []string
	Leaving   []string
	// Contacts are the data centres that the sender hears from itself.
	Contacts []Contact
}

// SyncRequest tells the sender's sections of the member table and asks for
// offers of those that differ.
type SyncRequest struct {
	Host     string
	Sections []Section
}

// SyncOffer lists the entries of one section by their hashes.
type SyncOffer struct {
	Host       string
	DataCentre string
	Entries    []uint32
}

// SyncWant asks for the offered entries that the sender lacks.
type SyncWant struct {
	Host       string
	DataCentre string
	Entries    []uint32
}

// SyncReply carries the entries wanted.
type SyncReply struct {
	Host    string
	Members []Member
}

// Topic tells what a Carried message is about.
type Topic byte

// TopicMessage transports a message that this package does not interpret.
type TopicMessage struct {
	Host  string
	Topic Topic
	Body  []byte
}

func (Hello) kind() kind        { return kindHello }
func (Ping) kind() kind         { return kindPing }
func (Pong) kind() kind         { return kindPong }
func (Heartbeat) kind() kind    { return kindHeartbeat }
func (SyncRequest) kind() kind  { return kindSyncRequest }
func (SyncOffer) kind() kind    { return kindSyncOffer }
func (SyncWant) kind() kind     { return kindSyncWant }
func (SyncReply) kind() kind    { return kindSyncReply }
func (TopicMessage) kind() kind { return kindTopicMessage }
