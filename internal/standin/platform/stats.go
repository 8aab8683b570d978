package platform

// Kind is the kind of a call to the object API.
type Kind string

// Kinds of call. Put and delete are writes, all others are reads.
const (
	KindGet    Kind = "get"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindList   Kind = "list"
	KindWatch  Kind = "watch"
	KindHosts  Kind = "hosts"
)

func (k Kind) isWrite() bool {
	return k == KindPut || k == KindDelete
}

// Stats counts the calls since the start of the stand-in, refused ones included.
type Stats struct {
	// Seconds is the time since the start of the stand-in. Calls counts by kind;
	// Reads and Writes are the sums over the kinds that read and write.
	Seconds float64      `json:"seconds"`
	Calls   map[Kind]int `json:"calls"`
	Reads   int          `json:"reads"`
	Writes  int          `json:"writes"`
	// Throttled counts the calls refused because they exceeded a rate limit,
	// Refused those refused while the stand-in was down, and Lost those whose
	// answer did not arrive because of a fault or because the caller gave up.
	Throttled int `json:"throttled"`
	Refused   int `json:"refused"`
	Lost      int `json:"lost"`
	// Conflicts counts conditional writes that were refused because the object
	// had another version.
	Conflicts int `json:"conflicts"`
	// BytesRead and BytesWritten count the bytes of object values. Objects is
	// the number of present objects, and Version the version of the latest
	// change.
	BytesRead    int    `json:"bytes_read"`
	BytesWritten int    `json:"bytes_written"`
	Objects      int    `json:"objects"`
	Version      uint64 `json:"version"`
}

func (s *Stats) count(kind Kind) {
	s.Calls[kind]++
	if kind.isWrite() {
		s.Writes++
		return
	}
	s.Reads++
}
