package configuration

// Bounds of the messages between hosts.
const (
	// MaxRequestedParts is the largest number of parts that one request may
	// name.
	MaxRequestedParts = 16
	// MaxAnswerBytes is the largest amount of content that one answer carries,
	// in bytes.
	MaxAnswerBytes = 32 << 10
)

// ManifestPart is used in place of a part's hash to request the manifest
// itself.
const ManifestPart = ""

// Announcement reports to a peer which version the sender has in force. Version
// 0 means that the sender has none yet; a peer that has one answers with its
// own announcement.
type Announcement struct {
	// Version and Digest belong to the manifest in force at the sender; both
	// are 0 if there is none.
	Version uint64 `msgpack:"v"`
	Digest  uint64 `msgpack:"d"`
}

// PartRequest asks a peer for some parts of the configuration that it has in
// force.
type PartRequest struct {
	// ID is chosen by the sender and is repeated in the answer.
	ID    uint64          `msgpack:"i"`
	Parts []RequestedPart `msgpack:"w"`
}

// RequestedPart names one part, or the manifest by ManifestPart, and the offset
// in bytes from which its content is requested.
type RequestedPart struct {
	// Part is the hash of the part, or ManifestPart.
	Part string `msgpack:"p"`
	// Offset is the position of the first requested byte in the part.
	Offset int `msgpack:"o"`
}

// PartAnswer answers a PartRequest. It holds as many chunks as fit into
// MaxAnswerBytes, in the order of the request. The requester has to ask again
// for what is left out.
type PartAnswer struct {
	ID uint64 `msgpack:"i"`
	// Chunks holds one chunk for each answered part, in the order of the
	// request.
	Chunks []Chunk `msgpack:"c"`
	// Version and Digest belong to the manifest in force at the sender.
	Version uint64 `msgpack:"v"`
	Digest  uint64 `msgpack:"d"`
}

// Chunk is a contiguous range of bytes of one part. A chunk with Total 0 means
// that the sender does not have the part, or that the requested offset lies
// outside of it.
type Chunk struct {
	// Part is the hash of the part, or ManifestPart.
	Part string `msgpack:"p"`
	// Offset is the position of Bytes in the part.
	Offset int `msgpack:"o"`
	// Total is the length of the whole part in bytes.
	Total int    `msgpack:"t"`
	Bytes []byte `msgpack:"b"`
}

// Snapshot is one complete configuration version in its stored form: the
// encoded manifest, its digest, and the content of every part by its hash. The
// zero Snapshot means that there is no configuration.
type Snapshot struct {
	Version uint64
	Digest  uint64
	// Manifest is the encoded manifest, and Parts holds the encoded parts by
	// hash.
	Manifest []byte
	Parts    map[string][]byte
}

// Answer returns the answer to a peer's request from the content of the
// snapshot. The bytes are shared with the snapshot, whose parts never change.
// Requested parts above MaxRequestedParts are left out.
func (s Snapshot) Answer(r PartRequest) PartAnswer {
	a := PartAnswer{ID: r.ID, Version: s.Version, Digest: s.Digest}
	budget := MaxAnswerBytes
	for i, w := range r.Parts {
		if i == MaxRequestedParts || budget == 0 {
			break
		}
		c := s.chunk(w, budget)
		budget -= len(c.Bytes)
		a.Chunks = append(a.Chunks, c)
	}
	return a
}

// chunk returns the content of a requested part from its offset on, at most
// budget bytes.
func (s Snapshot) chunk(w RequestedPart, budget int) Chunk {
	body := s.Parts[w.Part]
	if w.Part == ManifestPart {
		body = s.Manifest
	}
	if w.Offset < 0 || w.Offset >= len(body) {
		return Chunk{Part: w.Part}
	}
	end := min(len(body), w.Offset+budget)
	return Chunk{Part: w.Part, Offset: w.Offset, Total: len(body), Bytes: body[w.Offset:end]}
}
