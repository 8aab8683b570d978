package gateway

import (
	"bytes"
	"compress/flate"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/wire"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// topicWork is the topic of the messages between gateways: reports about the
	// work in flight, forwarded answers of the store, and known revisions.
	topicWork wire.Topic = 128
	// topicCompressedWork is the topic of the same messages in compressed form.
	// Hosts of an earlier release refuse it, find the gap that it leaves, and
	// read the store.
	topicCompressedWork wire.Topic = 129
	// maxMessageBytes bounds a message after decompression: some times the
	// largest object of the store.
	maxMessageBytes = 8 << 20
	// inflaterBytes is what unpacking takes besides its result.
	inflaterBytes = 48 << 10
)

// message is what one host sends to another. It is encoded as an array, so the
// order of its fields is part of the format.
type message struct {
	Stage stage
	// KnownRevisions are the numbers of the newest revisions of the store's kinds
	// that the sender knows of, in an order that is the same on all hosts, and
	// then the newest era of the store that it knows of; see encodeRevisions.
	KnownRevisions []uint64
	Reports        []hostReport
	// StoreUpdates are answers of the store that the sender forwards.
	StoreUpdates []forwardedUpdate
}

// encodeMessage adds the revisions known here to a message and encodes it. An
// update that is too large even when it is compressed is replaced by a notice of
// its last revision, upon which the receivers read the store. It returns false,
// and logs the reason, if the message can't be sent.
func (p *peers) encodeMessage(m message) (wire.TopicMessage, bool) {
	m.KnownRevisions = encodeRevisions(p.knownRevisions())
	topic, body, err := marshalMessage(m)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
		if len(m.StoreUpdates) == 0 {
			return wire.TopicMessage{}, false
		}
		topic, body, err = marshalMessage(withoutObjects(m))
	}
	return wire.TopicMessage{Host: p.self.name, Topic: topic, Body: body}, err == nil
}

// withoutObjects returns a message whose updates only tell that changes up to a
// revision are missing at the receivers.
func withoutObjects(m message) message {
	notices := make([]forwardedUpdate, len(m.StoreUpdates))
	for i, update := range m.StoreUpdates {
		notices[i] = forwardedUpdate{KindIndex: update.KindIndex, From: update.To, To: update.To}
	}
	m.StoreUpdates = notices
	return m
}

// marshalMessage encodes a message as MessagePack, compressed if it would be too
// large otherwise. It returns an error if it is too large even then.
func marshalMessage(m message) (wire.Topic, []byte, error) {
	// Structs are encoded as arrays, which need no field names.
	var plain bytes.Buffer
	encoder := msgpack.NewEncoder(&plain)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&m); err != nil {
		return 0, nil, errors.Wrap(err, "encode a message to other hosts")
	}
	if plain.Len() <= wire.MaxBodyBytes {
		return topicWork, plain.Bytes(), nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(plain.Bytes())
	}
	if err == nil {
		err = w.Close()
	}
	if err == nil && compressed.Len() > wire.MaxBodyBytes {
		err = errors.Errorf("%d bytes after compression, at most %d can be sent", compressed.Len(), wire.MaxBodyBytes)
	}
	return topicCompressedWork, compressed.Bytes(), errors.Wrap(err, "compress a message to other hosts")
}

// decodeMessage decodes a message of another host, which may be compressed. What that takes
// is charged to the memory.
func decodeMessage(carrier wire.TopicMessage, memory *heldMemory) (message, error) {
	var m message
	if carrier.Topic != topicWork && carrier.Topic != topicCompressedWork {
		return m, errors.Errorf("message of an unknown topic %d", carrier.Topic)
	}
	carrier, err := unpackMessage(carrier, memory)
	if err != nil {
		return m, err
	}
	err = msgpack.Unmarshal(carrier.Body, &m)
	return m, errors.Wrap(err, "decode a message of another host")
}

// unpackMessage returns a message without compression. It charges what the message and its
// decoded form take at most, and returns an error if there is no room for them.
func unpackMessage(carrier wire.TopicMessage, memory *heldMemory) (wire.TopicMessage, error) {
	if carrier.Topic == topicCompressedWork {
		if err := memory.grow(inflaterBytes); err != nil {
			return carrier, errors.Wrap(err, "unpack a message of another host")
		}
		unpacked, err := readBuffered(flate.NewReader(bytes.NewReader(carrier.Body)), maxMessageBytes, memory)
		if err == nil && !unpacked.whole {
			err = errors.New("too large")
		}
		if err == nil {
			err = memory.grow(int64(unpacked.size))
		}
		if err != nil {
			return carrier, errors.Wrap(err, "unpack a message of another host")
		}
		carrier.Topic, carrier.Body = topicWork, bytes.Join(unpacked.pieces, nil)
	}
	size, err := decodedSize(carrier.Body)
	if err == nil {
		err = memory.grow(size)
	}
	return carrier, errors.Wrap(err, "measure a message of another host")
}

// newestEra returns the latest era among revisions.
func newestEra(revisions []platform.Revision) uint64 {
	newest := uint64(0)
	for _, r := range revisions {
		newest = max(newest, r.Era)
	}
	return newest
}

// encodeRevisions returns the form of revisions in a message: their numbers, and
// then the newest era among them. The number is 0 for a revision of an earlier
// era. Hosts of an earlier release send no era, and ignore it.
func encodeRevisions(revisions []platform.Revision) []uint64 {
	era := newestEra(revisions)
	encoded := make([]uint64, 0, len(revisions)+1)
	for _, r := range revisions {
		if r.Era < era {
			r.Number = 0
		}
		encoded = append(encoded, r.Number)
	}
	return append(encoded, era)
}

// decodeRevisions returns the revisions of the given number of kinds that a
// message holds, and their era.
func decodeRevisions(encoded []uint64, kinds int) ([]platform.Revision, uint64) {
	era := uint64(0)
	if len(encoded) > kinds {
		era = encoded[kinds]
	}
	revisions := make([]platform.Revision, min(kinds, len(encoded)))
	for i := range revisions {
		revisions[i] = platform.Revision{Era: era, Number: encoded[i]}
	}
	return revisions, era
}
