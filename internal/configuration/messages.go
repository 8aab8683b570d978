package configuration

// Bounds of the messages between processes.
const (
	// MaxRequestedParts is the most parts that one request may name.
	MaxRequestedParts = 16
	// MaxAnswerBytes is the most content that one answer carries, in bytes.
	MaxAnswerBytes = 32 << 10
)

// ManifestPart stands for the manifest in place of a part's hash.
const ManifestPart = ""

// Announcement tells a peer which version the sender has in force.
type Announcement struct {
	Version uint64 `msgpack:"v"`
	Digest  uint64 `msgpack:"d"`
}

// PartRequest asks a peer for pieces of its configuration.
type PartRequest struct {
	// ID comes back in the answer.
	ID    uint64          `msgpack:"i"`
	Parts []RequestedPart `msgpack:"w"`
}

// RequestedPart names a part, or the manifest by ManifestPart, and where to begin.
type RequestedPart struct {
	Part   string `msgpack:"p"`
	Offset int    `msgpack:"o"`
}

// PartAnswer answers a PartRequest. It holds as many chunks as fit, in the
// order of the request; what is left out has to be asked for again.
type PartAnswer struct {
	ID     uint64  `msgpack:"i"`
	Chunks []Chunk `msgpack:"c"`
	// Version and Digest are of the manifest in force at the sender.
	Version uint64 `msgpack:"v"`
	Digest  uint64 `msgpack:"d"`
}

// Chunk is a run of bytes of one part. A chunk with Total 0 says that the
// sender does not hold the part.
type Chunk struct {
	Part   string `msgpack:"p"`
	Offset int    `msgpack:"o"`
	// Total is the length of the whole part in bytes.
	Total int    `msgpack:"t"`
	Bytes []byte `msgpack:"b"`
}

// Snapshot is a whole configuration in its stored form.
type Snapshot struct {
	Version  uint64
	Digest   uint64
	Manifest []byte
	Parts    map[string][]byte
}

// Answer serves a peer's request from the holding. The bytes are shared with
// the holding, whose parts never change.
func (h Snapshot) Answer(r PartRequest) PartAnswer {
	a := PartAnswer{ID: r.ID, Version: h.Version, Digest: h.Digest}
	budget := MaxAnswerBytes
	for i, w := range r.Parts {
		if i == MaxRequestedParts || budget == 0 {
			break
		}
		c := h.chunk(w, budget)
		budget -= len(c.Bytes)
		a.Chunks = append(a.Chunks, c)
	}
	return a
}

func (h Snapshot) chunk(w RequestedPart, budget int) Chunk {
	body := h.Parts[w.Part]
	if w.Part == ManifestPart {
		body = h.Manifest
	}
	if w.Offset < 0 || w.Offset >= len(body) {
		return Chunk{Part: w.Part}
	}
	end := min(len(body), w.Offset+budget)
	return Chunk{Part: w.Part, Offset: w.Offset, Total: len(body), Bytes: body[w.Offset:end]}
}
