package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/chestnutline/chestnutline/internal/quarantine"
)

// contentHashBytes is the number of bytes of the SHA-256 hash in a content name.
const contentHashBytes = 16

// contentName names what a request asks for: its target, the organisation that asks
// and the body. Requests with the same content have the same name on all hosts,
// whatever their ids and other headers. All fields are hashed with their lengths, so no
// organisation can make a request with the name of another one's.
func (in *inboundRequest) contentName(r *http.Request) string {
	hash := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.RequestURI, in.organisation} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	for _, segment := range in.body.segments {
		hash.Write(segment)
	}
	return quarantine.ContentName(hash.Sum(nil)[:contentHashBytes])
}
