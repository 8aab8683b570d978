package platform

// Kind is a kind of call.
type Kind string

// The kinds of call. Put and delete are writes, the others reads.
const (
	KindGet    Kind = "get"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindList   Kind = "list"
	KindWatch  Kind = "watch"
	KindHosts  Kind = "hosts"
)

func (k Kind) write() bool {
	return k == KindPut || k == KindDelete
}

// Stats counts calls since the start, refused ones included.
type Stats struct {
	Seconds float64      `json:"seconds"`
	Calls   map[Kind]int `json:"calls"`
	Reads   int          `json:"reads"`
	Writes  int          `json:"writes"`
	// Throttled, Refused and Lost count calls without a proper answer: over
	// the rate, while down, and dropped by a fault.
	Throttled int `json:"throttled"`
	Refused   int `json:"refused"`
	Lost      int `json:"lost"`
	// Conflicts counts conditional writes on another version.
	Conflicts    int    `json:"conflicts"`
	BytesRead    int    `json:"bytes_read"`
	BytesWritten int    `json:"bytes_written"`
	Objects      int    `json:"objects"`
	Version      uint64 `json:"version"`
}

func (s *Stats) count(kind Kind) {
	s.Calls[kind]++
	if kind.write() {
		s.Writes++
		return
	}
	s.Reads++
}
