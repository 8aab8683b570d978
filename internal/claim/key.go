package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/finding"
)

// KeyHeader is the header that carries a caller's idempotency key.
const KeyHeader = "Idempotency-Key"

const (
	// maxKeyBytes bounds a raw key.
	maxKeyBytes = 255
	// secondsDigits is the length of a Unix second in a dated key.
	secondsDigits = 10
	// uuidBytes is the length of a UUID, uuidText that of its written form.
	uuidBytes = 16
	uuidText  = 36
	// uuidTimeVersion is the UUID version that begins with Unix milliseconds.
	uuidTimeVersion = 7
)

// Key names one action. Two requests with equal organisation, kind and raw key
// have equal Keys.
type Key struct {
	id shard.ID
	// date is in Unix seconds, 0 if the raw key carries none.
	date int64
}

// Dated says that the raw key carries its date.
func (k Key) Dated() bool {
	return k.date != 0
}

// ParseKey reads an idempotency key. A dated key is a UUID of version 7 or has
// the form "<Unix seconds, ten digits>-<text>"; any other text is undated.
func ParseKey(organisation, kind, raw string) (Key, finding.List) {
	var findings finding.List
	if raw == "" {
		findings.Add(KeyHeader, "is required for this kind of request")
		return Key{}, findings
	}
	if len(raw) > maxKeyBytes {
		findings.Add(KeyHeader, "must have at most "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	if strings.ContainsFunc(raw, func(r rune) bool { return r < ' ' || r > '~' }) {
		findings.Add(KeyHeader, "must consist of printable ASCII characters")
	}
	if len(findings) > 0 {
		return Key{}, findings
	}
	return Key{id: digest(organisation, kind, raw), date: dateOf(raw)}, nil
}

// digest is collision-resistant, so that no caller can hit another's key.
func digest(parts ...string) (id shard.ID) {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	copy(id[:], h.Sum(nil))
	return id
}

func dateOf(raw string) int64 {
	if date, ok := dateOfUUID(raw); ok {
		return date
	}
	if len(raw) <= secondsDigits || raw[secondsDigits] != '-' {
		return 0
	}
	seconds, err := strconv.ParseUint(raw[:secondsDigits], 10, 63)
	if err != nil {
		return 0
	}
	return int64(seconds)
}

func dateOfUUID(raw string) (int64, bool) {
	if len(raw) != uuidText || raw[8] != '-' || raw[13] != '-' || raw[18] != '-' || raw[23] != '-' {
		return 0, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(raw, "-", ""))
	if err != nil || len(b) != uuidBytes || b[6]>>4 != uuidTimeVersion {
		return 0, false
	}
	milliseconds := int64(binary.BigEndian.Uint64(b[:8]) >> 16)
	return milliseconds / int64(time.Second/time.Millisecond), true
}

// Fingerprint digests a request's body, to notice a key that is used again
// for a different request.
func Fingerprint(body []byte) uint64 {
	return xxhash.Sum64(body)
}
