package wire

import (
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// encoder writes values in msgpack. It keeps the first error and writes nothing
// after it.
type encoder struct {
	enc *msgpack.Encoder
	err error
}

// encode writes the fields of the message one after the other, without field
// names. The order of the calls is the order of the fields on the wire.
func encode(w io.Writer, m Message) error {
	e := &encoder{enc: msgpack.NewEncoder(w)}
	switch m := m.(type) {
	case Hello:
		e.string(m.Address)
	case Ping, Pong:
	case Heartbeat:
		e.heartbeat(m)
	case SyncRequest:
		e.string(m.Host)
		encodeList(e, m.Sections, e.sectionSummary)
	case SyncOffer:
		e.entryHashes(m.Host, m.DataCentre, m.EntryHashes)
	case SyncFetch:
		e.entryHashes(m.Host, m.DataCentre, m.EntryHashes)
	case SyncReply:
		e.string(m.Host)
		encodeList(e, m.Members, e.member)
	case TopicMessage:
		e.string(m.Host)
		e.uint(uint64(m.Topic))
		e.bytes(m.Body)
	default:
		return errors.Wrapf(ErrKind, "encode %T", m)
	}
	return errors.Wrapf(e.err, "encode %T", m)
}

func (e *encoder) heartbeat(h Heartbeat) {
	e.string(h.Host)
	e.uint(h.Incarnation)
	e.uint(uint64(h.Refutation))
	e.uint(uint64(h.State))
	e.bool(h.Probe)
	e.uint(uint64(h.TableHash))
	e.uint(h.ConfigVersion)
	encodeList(e, h.Members, e.member)
	encodeList(e, h.Loads, e.load)
	e.bool(h.HasUpstreamLists)
	encodeList(e, h.SuspectedUpstreams, e.string)
	encodeList(e, h.LeavingUpstreams, e.string)
	encodeList(e, h.Contacts, e.contact)
}

// entryHashes writes the fields that SyncOffer and SyncFetch share.
func (e *encoder) entryHashes(host, dataCentre string, entryHashes []uint32) {
	e.string(host)
	e.string(dataCentre)
	encodeList(e, entryHashes, func(hash uint32) { e.uint(uint64(hash)) })
}

func (e *encoder) member(m Member) {
	e.string(m.Host)
	e.string(m.DataCentre)
	e.string(m.Address)
	e.uint(m.Incarnation)
	e.uint(uint64(m.Refutation))
	e.uint(uint64(m.State))
}

func (e *encoder) load(l UpstreamLoad) {
	e.string(l.Upstream)
	e.count(l.Requests)
	e.count(l.PrefillTokens)
	e.count(l.LongPromptTokens)
	e.count(l.MemoryTokens)
}

func (e *encoder) contact(c Contact) {
	e.string(c.DataCentre)
	e.uint(uint64(c.AgeMillis))
}

func (e *encoder) sectionSummary(s SectionSummary) {
	e.string(s.DataCentre)
	e.uint(uint64(s.Hash))
	e.uint(s.VersionSum)
}

func (e *encoder) string(s string) {
	if e.err == nil {
		e.err = e.enc.EncodeString(s)
	}
}

// bytes writes the body of a TopicMessage, which is limited to MaxBodyBytes.
func (e *encoder) bytes(b []byte) {
	if len(b) > MaxBodyBytes && e.err == nil {
		e.err = errors.Wrapf(ErrMalformed, "body of %d bytes, at most %d accepted", len(b), MaxBodyBytes)
	}
	if e.err == nil {
		e.err = e.enc.EncodeBytes(b)
	}
}

func (e *encoder) uint(n uint64) {
	if e.err == nil {
		e.err = e.enc.EncodeUint(n)
	}
}

// count writes a number that must not be negative.
func (e *encoder) count(n int) {
	if n < 0 && e.err == nil {
		e.err = errors.Wrapf(ErrMalformed, "count %d is negative", n)
	}
	e.uint(uint64(n))
}

func (e *encoder) bool(b bool) {
	if e.err == nil {
		e.err = e.enc.EncodeBool(b)
	}
}

// encodeList writes the length of the list and then each item with encodeItem.
func encodeList[T any](e *encoder, list []T, encodeItem func(T)) {
	if e.err == nil {
		e.err = e.enc.EncodeArrayLen(len(list))
	}
	for _, v := range list {
		encodeItem(v)
	}
}
