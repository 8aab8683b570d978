package wire

import (
	"bytes"
	"math"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// decoder reads msgpack within bounds and keeps the first error.
type decoder struct {
	dec *msgpack.Decoder
	err error
}

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
		return SyncRequest{Host: d.string(), Sections: decodeList(d, MaxDataCentres, d.section)}
	case kindSyncOffer:
		return SyncOffer{Host: d.string(), DataCentre: d.string(), Entries: decodeList(d, MaxMembers, d.entry)}
	case kindSyncWant:
		return SyncWant{Host: d.string(), DataCentre: d.string(), Entries: decodeList(d, MaxMembers, d.entry)}
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
		Host:          d.string(),
		Incarnation:   d.uint(math.MaxUint64),
		Refutation:    uint32(d.uint(math.MaxUint32)),
		State:         State(d.uint(uint64(Dead))),
		Probe:         d.bool(),
		TableHash:     uint32(d.uint(math.MaxUint32)),
		ConfigVersion: d.uint(math.MaxUint64),
		Members:       decodeList(d, MaxMembers, d.member),
		Loads:         decodeList(d, MaxLoads, d.load),
		Listing:       d.bool(),
		Suspected:     decodeList(d, MaxUpstreams, d.string),
		Leaving:       decodeList(d, MaxUpstreams, d.string),
		Contacts:      decodeList(d, MaxDataCentres, d.contact),
	}
}

func (d *decoder) entry() uint32 {
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

func (d *decoder) section() Section {
	return Section{
		DataCentre: d.string(),
		Hash:       uint32(d.uint(math.MaxUint32)),
		Weight:     d.uint(math.MaxUint64),
	}
}

func (d *decoder) string() string {
	return string(d.bytes(MaxNameBytes))
}

func (d *decoder) bytes(most int) []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeBytesLen()
	if err != nil {
		d.err = err
		return nil
	}
	if n < 0 || n > most {
		d.err = errors.Errorf("%d bytes, at most %d accepted", n, most)
		return nil
	}
	b := make([]byte, n)
	d.err = d.dec.ReadFull(b)
	return b
}

// uint reads a number from 0 to most. A signed code is read as a signed
// number, so that a negative one is refused.
func (d *decoder) uint(most uint64) uint64 {
	if d.err != nil {
		return 0
	}
	code, err := d.dec.PeekCode()
	if err != nil {
		d.err = err
		return 0
	}
	if signedCode(code) {
		d.err = errors.Errorf("signed number code %#x", code)
		return 0
	}
	n, err := d.dec.DecodeUint64()
	if err == nil && n > most {
		err = errors.Errorf("number %d, at most %d accepted", n, most)
	}
	d.err = err
	return n
}

// signedCode tells msgpack's codes of signed integers, floats and nil from
// the codes of unsigned integers.
func signedCode(code byte) bool {
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

func decodeList[T any](d *decoder, most int, item func() T) []T {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeArrayLen()
	if err == nil && (n < 0 || n > most) {
		err = errors.Errorf("list of %d entries, at most %d accepted", n, most)
	}
	if err != nil {
		d.err = err
		return nil
	}
	var list []T
	for i := 0; i < n && d.err == nil; i++ {
		list = append(list, item())
	}
	return list
}
