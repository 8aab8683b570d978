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
	// maxKeyBytes is the maximum length of a raw key.
	maxKeyBytes = 255
	// unixSecondsDigits is the number of digits of the Unix second that begins
	// a dated key.
	unixSecondsDigits = 10
	// uuidBytes is the length of a UUID in bytes, uuidTextLength that of its
	// text form.
	uuidBytes      = 16
	uuidTextLength = 36
	// uuidTimeVersion is the version of the UUIDs that begin with a time in
	// Unix milliseconds.
	uuidTimeVersion = 7
)

// Key identifies one action. Two requests with the same organisation, kind and
// raw key have equal Keys.
type Key struct {
	id shard.ID
	// date is in Unix seconds, 0 if the raw key carries none.
	date int64
}

// Dated reports whether the raw key carries a date.
func (k Key) Dated() bool {
	return k.date != 0
}

// ParseKey parses an idempotency key, and returns findings if it is invalid. A
// dated key is a UUID of version 7 or has the form "<Unix seconds, ten
// digits>-<text>"; any other text is an undated key.
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
	return Key{id: actionID(organisation, kind, raw), date: parseDate(raw)}, nil
}

// actionID returns a collision-resistant digest of the parts, so that no caller
// can construct a key with the ID of another organisation's action. Each part is
// hashed with its length, so that ("ab", "c") and ("a", "bc") differ.
func actionID(parts ...string) (id shard.ID) {
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

// parseDate returns the date of a raw key in Unix seconds, or 0 if it is
// undated.
func parseDate(raw string) int64 {
	if date, ok := parseUUIDDate(raw); ok {
		return date
	}
	if len(raw) <= unixSecondsDigits || raw[unixSecondsDigits] != '-' {
		return 0
	}
	seconds, err := strconv.ParseUint(raw[:unixSecondsDigits], 10, 63)
	if err != nil {
		return 0
	}
	return int64(seconds)
}

// parseUUIDDate returns the date of a UUID of version 7 in Unix seconds, and
// reports whether raw is one.
func parseUUIDDate(raw string) (int64, bool) {
	if len(raw) != uuidTextLength || raw[8] != '-' || raw[13] != '-' || raw[18] != '-' || raw[23] != '-' {
		return 0, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(raw, "-", ""))
	if err != nil || len(b) != uuidBytes || b[6]>>4 != uuidTimeVersion {
		return 0, false
	}
	// The first 48 bits are the time in Unix milliseconds.
	milliseconds := int64(binary.BigEndian.Uint64(b[:8]) >> 16)
	return milliseconds / int64(time.Second/time.Millisecond), true
}

// Fingerprint returns a digest of a request's body, used to detect a key that
// is used again for a different request.
func Fingerprint(body []byte) uint64 {
	return xxhash.Sum64(body)
}
