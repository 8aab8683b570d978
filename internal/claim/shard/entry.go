package shard

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Sizes in bytes, used to keep an encoded table below the store's size limit
// for values.
const (
	// MaxCodeBytes and MaxBodyBytes are the maximum sizes of the code and the
	// body that an Outcome records.
	MaxCodeBytes = 64
	MaxBodyBytes = 512
	// maxEntryOverheadBytes is an upper bound on the encoded size of an entry
	// without its code and body.
	maxEntryOverheadBytes = 80
	// maxHeaderBytes is an upper bound on the encoded size of a table without
	// its entries.
	maxHeaderBytes = 32
)

// ID identifies an action. It is a digest of the organisation, the kind of
// request and the idempotency key.
type ID [16]byte

// Token identifies one attempt to run an action. Incarnation is a random number
// that a process draws when it starts, and Attempt counts the attempts of the
// process, so that no two attempts have the same token.
type Token struct {
	Incarnation uint64
	Attempt     uint64
}

// Outcome is the recorded result of an action, with which repeated requests are
// answered.
type Outcome struct {
	// Status is the status code that the upstream answered.
	Status int
	// Code is a stable error code of at most MaxCodeBytes, or empty if the
	// action succeeded.
	Code string
	// Body is the body of the upstream's answer, or empty if it was longer than
	// MaxBodyBytes.
	Body []byte
	// Truncated is true if the body was too long to be recorded.
	Truncated bool
}

// withinLimits returns the outcome cut to the sizes that an entry reserves: a
// body that is too long is left out, a code that is too long is shortened.
func (o Outcome) withinLimits() Outcome {
	if len(o.Body) > MaxBodyBytes {
		o.Body = nil
		o.Truncated = true
	}
	if len(o.Code) > MaxCodeBytes {
		o.Code = o.Code[:MaxCodeBytes]
	}
	return o
}

// Entry is the stored record of one claimed action.
type Entry struct {
	ID ID
	// Token identifies the attempt that holds the claim.
	Token Token
	// Fingerprint is a digest of the request's body, used to detect a key that
	// is used again for another request.
	Fingerprint uint64
	// Date is the key's date in Unix seconds.
	Date int64
	// Deadline is the end of the attempt's time limit in Unix seconds.
	Deadline int64
	// Done is true if Outcome is recorded. If it is false, the action may be
	// running or may have ended without a recorded outcome.
	Done    bool
	Outcome Outcome
}

// maxEncodedBytes returns an upper bound on the encoded size. An entry without
// an outcome reserves space for the longest one, so that recording an outcome
// never fails for lack of space.
func (e Entry) maxEncodedBytes() int {
	if !e.Done {
		return maxEntryOverheadBytes + MaxCodeBytes + MaxBodyBytes
	}
	return maxEntryOverheadBytes + len(e.Outcome.Code) + len(e.Outcome.Body)
}

// entryFieldCount is the number of array elements of an encoded entry.
const entryFieldCount = 11

// encode returns the entry as a msgpack array. It panics on an encoding error,
// because writing to memory can't fail.
func (e Entry) encode() []byte {
	var buffer bytes.Buffer
	w := msgpack.NewEncoder(&buffer)
	w.UseCompactInts(true)
	o := e.Outcome
	for _, err := range []error{
		w.EncodeArrayLen(entryFieldCount),
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

// fieldReader reads array elements one after the other and keeps the first
// error; after an error it reads nothing more.
type fieldReader struct {
	*msgpack.Decoder
	err error
}

// readField returns the next element, or the zero value after an error.
func readField[T any](r *fieldReader, read func() (T, error)) (value T) {
	if r.err == nil {
		value, r.err = read()
	}
	return value
}

// entryDecoder decodes entries one after the other and reuses its buffers.
type entryDecoder struct {
	reader  *bytes.Reader
	decoder *msgpack.Decoder
}

func newEntryDecoder() *entryDecoder {
	reader := bytes.NewReader(nil)
	return &entryDecoder{reader: reader, decoder: msgpack.NewDecoder(reader)}
}

// decode decodes one entry from the bytes of its msgpack array.
func (e *entryDecoder) decode(encoded []byte) (Entry, error) {
	e.reader.Reset(encoded)
	e.decoder.Reset(e.reader)
	return decodeEntry(e.decoder)
}

// decodeEntry reads the next entry, in the format of Entry.encode. It returns
// an error if the number of fields, a type or the length of the ID is wrong.
func decodeEntry(d *msgpack.Decoder) (Entry, error) {
	n, err := d.DecodeArrayLen()
	if err != nil || n != entryFieldCount {
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
