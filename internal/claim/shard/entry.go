package shard

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Sizes in bytes, used to keep a table below the store's limit for values.
const (
	// MaxCodeBytes and MaxBodyBytes bound what an outcome records.
	MaxCodeBytes = 64
	MaxBodyBytes = 512
	// entryBytes bounds an encoded entry without code and body.
	entryBytes = 80
	// headerBytes bounds the encoded table without entries.
	headerBytes = 32
)

// ID identifies an action: a digest of organisation, kind and idempotency key.
type ID [16]byte

// Token identifies one attempt at an action. Incarnation is drawn at random at
// process start, Attempt counts within the process, so no two attempts share one.
type Token struct {
	Incarnation uint64
	Attempt     uint64
}

// Outcome is what a repeated request is answered with.
type Outcome struct {
	// Status is the upstream's status.
	Status int
	// Code is a stable error code, empty after success.
	Code string
	// Body is the upstream's answer, or empty if it was longer than MaxBodyBytes.
	Body []byte
	// Truncated says that the answer was too long to record.
	Truncated bool
}

// bounded returns the outcome within the sizes that a table reserves.
func (o Outcome) bounded() Outcome {
	if len(o.Body) > MaxBodyBytes {
		o.Body = nil
		o.Truncated = true
	}
	if len(o.Code) > MaxCodeBytes {
		o.Code = o.Code[:MaxCodeBytes]
	}
	return o
}

// Entry is the record of one action.
type Entry struct {
	ID          ID
	Token       Token
	Fingerprint uint64
	// Date is the key's date in Unix seconds.
	Date int64
	// Deadline is the attempt's time limit in Unix seconds.
	Deadline int64
	// Done says that Outcome is recorded; otherwise the action may be running.
	Done    bool
	Outcome Outcome
}

// bytes bounds the encoded size. A claimed entry reserves room for its
// outcome, so that recording one never fails for want of space.
func (e Entry) bytes() int {
	if !e.Done {
		return entryBytes + MaxCodeBytes + MaxBodyBytes
	}
	return entryBytes + len(e.Outcome.Code) + len(e.Outcome.Body)
}

// entryFields is the number of elements of an encoded entry.
const entryFields = 11

// encode returns the entry as a msgpack array. Writing to memory can't fail.
func (e Entry) encode() []byte {
	var buffer bytes.Buffer
	w := msgpack.NewEncoder(&buffer)
	w.UseCompactInts(true)
	o := e.Outcome
	for _, err := range []error{
		w.EncodeArrayLen(entryFields),
		w.EncodeBytes(e.ID[:]),
		w.EncodeUint(e.Token.Incarnation),
		w.EncodeUint(e.Token.Attempt),
		w.EncodeUint(e.Fingerprint),
		w.EncodeInt(e.Date),
		w.EncodeInt(e.Deadline),
		w.EncodeBool(e.Done),
		w.EncodeInt(int64(o.Status)),
		w.EncodeString(o.Code),
		w.EncodeBytes(o.Body),
		w.EncodeBool(o.Truncated),
	} {
		if err != nil {
			panic(errors.Wrap(err, "encode a claim"))
		}
	}
	return buffer.Bytes()
}

// fieldReader reads elements until the first error.
type fieldReader struct {
	*msgpack.Decoder
	err error
}

func readField[T any](r *fieldReader, read func() (T, error)) (value T) {
	if r.err == nil {
		value, r.err = read()
	}
	return value
}

// entryDecoder decodes one entry after the other.
type entryDecoder struct {
	reader  *bytes.Reader
	decoder *msgpack.Decoder
}

func newEntryDecoder() *entryDecoder {
	reader := bytes.NewReader(nil)
	return &entryDecoder{reader: reader, decoder: msgpack.NewDecoder(reader)}
}

func (e *entryDecoder) decode(wire []byte) (Entry, error) {
	e.reader.Reset(wire)
	e.decoder.Reset(e.reader)
	return decodeEntry(e.decoder)
}

func decodeEntry(d *msgpack.Decoder) (Entry, error) {
	n, err := d.DecodeArrayLen()
	if err != nil || n != entryFields {
		return Entry{}, errors.Errorf("decode a claim: %d fields, %v", n, err)
	}
	r := &fieldReader{Decoder: d}
	id := readField(r, r.DecodeBytes)
	e := Entry{
		Token:       Token{Incarnation: readField(r, r.DecodeUint64), Attempt: readField(r, r.DecodeUint64)},
		Fingerprint: readField(r, r.DecodeUint64),
		Date:        readField(r, r.DecodeInt64),
		Deadline:    readField(r, r.DecodeInt64),
		Done:        readField(r, r.DecodeBool),
		Outcome: Outcome{
			Status:    readField(r, r.DecodeInt),
			Code:      readField(r, r.DecodeString),
			Body:      readField(r, r.DecodeBytes),
			Truncated: readField(r, r.DecodeBool),
		},
	}
	if r.err != nil {
		return Entry{}, errors.Wrap(r.err, "decode a claim")
	}
	if len(id) != len(e.ID) {
		return Entry{}, errors.Errorf("decode a claim: an ID has %d bytes", len(id))
	}
	copy(e.ID[:], id)
	return e, nil
}
