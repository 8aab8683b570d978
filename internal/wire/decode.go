package wire

import (
	"bytes"
	"math"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// decoder reads values in msgpack and checks their limits. It keeps the first
// error; after one every method returns a zero value.
type decoder struct {
	dec *msgpack.Decoder
	err error
}

// decode reads a message of the given kind, which must take up the whole body.
func decode(k kind, body []byte) (Message, error) {
	r := bytes.NewReader(body)
	d := &decoder{dec: msgpack.NewDecoder(r)}
	m := d.message(k)
	if m == nil {
		return nil, errors.Wrapf(ErrKind, "decode kind %d", k)
	}
	if d.err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode %T: %v", m, d.err)
	}
	if r.Len() != 0 {
		return nil, errors.Wrapf(ErrMalformed, "decode %T: %d bytes left over", m, r.Len())
	}
	return m, nil
}

// message reads a message, or returns nil if the kind is unknown. The order of
// the fields in each literal is their order on the wire, as in encode.
func (d *decoder) message(k kind) Message {
	switch k {
	case kindHello:
		return Hello{Address: d.string()}
	case kindPing:
		return Ping{}
	case kindPong:
		return Pong{}
	case kindHeartbeat:
		return d.heartbeat()
	case kindSyncRequest:
		return SyncRequest{Host: d.string(), Sections: decodeList(d, MaxDataCentres, d.sectionSummary)}
	case kindSyncOffer:
		return SyncOffer{Host: d.string(), DataCentre: d.string(), EntryHashes: decodeList(d, MaxMembers, d.entryHash)}
	case kindSyncFetch:
		return SyncFetch{Host: d.string(), DataCentre: d.string(), EntryHashes: decodeList(d, MaxMembers, d.entryHash)}
	case kindSyncReply:
		return SyncReply{Host: d.string(), Members: decodeList(d, MaxMembers, d.member)}
	case kindTopicMessage:
		return TopicMessage{Host: d.string(), Topic: Topic(d.uint(math.MaxUint8)), Body: d.bytes(MaxBodyBytes)}
	default:
		return nil
	}
}

func (d *decoder) heartbeat() Heartbeat {
	return Heartbeat{
		Host:               d.string(),
		Incarnation:        d.uint(math.MaxUint64),
		Refutation:         uint32(d.uint(math.MaxUint32)),
		State:              State(d.uint(uint64(Dead))),
		Probe:              d.bool(),
		TableHash:          uint32(d.uint(math.MaxUint32)),
		ConfigVersion:      d.uint(math.MaxUint64),
		Members:            decodeList(d, MaxMembers, d.member),
		Loads:              decodeList(d, MaxLoads, d.load),
		HasUpstreamLists:   d.bool(),
		SuspectedUpstreams: decodeList(d, MaxUpstreams, d.string),
		LeavingUpstreams:   decodeList(d, MaxUpstreams, d.string),
		Contacts:           decodeList(d, MaxDataCentres, d.contact),
	}
}

func (d *decoder) entryHash() uint32 {
	return uint32(d.uint(math.MaxUint32))
}

func (d *decoder) member() Member {
	return Member{
		Host:        d.string(),
		DataCentre:  d.string(),
		Address:     d.string(),
		Incarnation: d.uint(math.MaxUint64),
		Refutation:  uint32(d.uint(math.MaxUint32)),
		State:       State(d.uint(uint64(Dead))),
	}
}

func (d *decoder) load() UpstreamLoad {
	return UpstreamLoad{
		Upstream:         d.string(),
		Requests:         int(d.uint(math.MaxInt32)),
		PrefillTokens:    int(d.uint(math.MaxInt64)),
		LongPromptTokens: int(d.uint(math.MaxInt64)),
		MemoryTokens:     int(d.uint(math.MaxInt64)),
	}
}

func (d *decoder) contact() Contact {
	return Contact{DataCentre: d.string(), AgeMillis: uint32(d.uint(math.MaxUint32))}
}

func (d *decoder) sectionSummary() SectionSummary {
	return SectionSummary{
		DataCentre: d.string(),
		Hash:       uint32(d.uint(math.MaxUint32)),
		VersionSum: d.uint(math.MaxUint64),
	}
}

func (d *decoder) string() string {
	return string(d.bytes(MaxNameBytes))
}

// bytes reads a string or binary value of at most limit bytes.
func (d *decoder) bytes(limit int) []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeBytesLen()
	if err != nil {
		d.err = err
		return nil
	}
	if n < 0 || n > limit {
		d.err = errors.Errorf("%d bytes, at most %d accepted", n, limit)
		return nil
	}
	b := make([]byte, n)
	d.err = d.dec.ReadFull(b)
	return b
}

// uint reads an unsigned number from 0 to limit. It rejects a value with a
// msgpack code of any other type, since the library would read a negative
// number as a large unsigned one.
func (d *decoder) uint(limit uint64) uint64 {
	if d.err != nil {
		return 0
	}
	code, err := d.dec.PeekCode()
	if err != nil {
		d.err = err
		return 0
	}
	if isSignedCode(code) {
		d.err = errors.Errorf("signed number code %#x", code)
		return 0
	}
	n, err := d.dec.DecodeUint64()
	if err == nil && n > limit {
		err = errors.Errorf("number %d, at most %d accepted", n, limit)
	}
	d.err = err
	return n
}

// isSignedCode reports whether a msgpack code is that of a signed integer, a
// float, nil or any other type than an unsigned integer.
func isSignedCode(code byte) bool {
	const (
		positiveFixLast = 0x7f
		uint8First      = 0xcc
		uint64Last      = 0xcf
	)
	return code > positiveFixLast && (code < uint8First || code > uint64Last)
}

func (d *decoder) bool() bool {
	if d.err != nil {
		return false
	}
	b, err := d.dec.DecodeBool()
	d.err = err
	return b
}

// decodeList reads a list of at most limit items, each with decodeItem. The
// list grows only as items are read, so that a false length claims no memory.
func decodeList[T any](d *decoder, limit int, decodeItem func() T) []T {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeArrayLen()
	if err == nil && (n < 0 || n > limit) {
		err = errors.Errorf("list of %d entries, at most %d accepted", n, limit)
	}
	if err != nil {
		d.err = err
		return nil
	}
	var list []T
	for i := 0; i < n && d.err == nil; i++ {
		list = append(list, decodeItem())
	}
	return list
}
