package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"
)

// Object keys under which the accepted configuration is stored in the object
// API.
const (
	// ManifestKey is the key of the manifest. A configuration is accepted by
	// the conditional update of this object.
	ManifestKey = "configuration/manifest"
	// PartPrefix is the prefix of the key of every part; the part's hash
	// follows.
	PartPrefix = "configuration/parts/"
)

// Bounds of the stored form of a configuration.
const (
	// CurrentFormat is the newest format of manifests and parts that this code
	// can read.
	CurrentFormat = 1
	// MaxPartBytes is the largest size of a part, half of what the object API
	// accepts as one object.
	MaxPartBytes = 512 << 10
	// MaxManifestBytes is the largest size of an encoded manifest.
	MaxManifestBytes = 512 << 10
	// MaxParts is the largest number of parts of one configuration.
	MaxParts = 8192
	// MaxEarlierChanges is the number of changes before the newest one that a
	// manifest lists. A writer that lost the answer to its update looks for its
	// change among them to find out whether it was accepted.
	MaxEarlierChanges = 8
	// MaxAuthorBytes and MaxNoteBytes are the largest sizes of the author name
	// and the note that an operator gives with a change.
	MaxAuthorBytes = 64
	MaxNoteBytes   = 200
)

// hashBytes is the length of the SHA-256 hash that names a part.
const hashBytes = sha256.Size

// Change describes one accepted change of the configuration.
type Change struct {
	// Version is the version that the change created: one more than the version
	// that it was based on. The first version is 1.
	Version uint64 `json:"version"`
	// Author names the operator who submitted the change, and Note explains the
	// change.
	Author string `json:"author"`
	Note   string `json:"note"`
	// Nonce is a random text that identifies the change, also among changes
	// with the same author and note.
	Nonce string `json:"nonce"`
}

// Manifest lists the parts that make up one accepted configuration version. The
// zero Manifest means that no configuration was accepted yet.
type Manifest struct {
	// Format is the format of the manifest and its parts, from 1 to
	// CurrentFormat.
	Format int `json:"format"`
	// Change is the change that created this version.
	Change Change `json:"change"`
	// EarlierChanges lists the changes before Change, the newest first, at most
	// MaxEarlierChanges.
	EarlierChanges []Change `json:"earlier,omitempty"`
	// Parts lists the hashes of the configuration's parts.
	Parts []string `json:"parts"`
}

// Next returns the manifest of the version after m, with the given change and
// parts. On the zero Manifest it returns the manifest of version 1.
func (m Manifest) Next(author, note, nonce string, parts []string) Manifest {
	var earlier []Change
	if m.Change.Version > 0 {
		earlier = append(append(earlier, m.Change), m.EarlierChanges...)
	}
	if len(earlier) > MaxEarlierChanges {
		earlier = earlier[:MaxEarlierChanges]
	}
	change := Change{Version: m.Change.Version + 1, Author: author, Note: note, Nonce: nonce}
	return Manifest{Format: CurrentFormat, Change: change, EarlierChanges: earlier, Parts: parts}
}

// FindChange returns the change with the given nonce, and false if the manifest
// does not list it.
func (m Manifest) FindChange(nonce string) (Change, bool) {
	if m.Change.Nonce == nonce {
		return m.Change, m.Change.Version > 0
	}
	for _, c := range m.EarlierChanges {
		if c.Nonce == nonce {
			return c, true
		}
	}
	return Change{}, false
}

// ChangesSince returns the changes after the given version, the newest first.
// Changes that the manifest no longer lists are missing from the result.
func (m Manifest) ChangesSince(version uint64) []Change {
	var changes []Change
	for _, c := range append([]Change{m.Change}, m.EarlierChanges...) {
		if c.Version > version {
			changes = append(changes, c)
		}
	}
	return changes
}

// Encode returns the stored form of the manifest, or an error if it is larger
// than MaxManifestBytes.
func (m Manifest) Encode() ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode the manifest")
	}
	if len(body) > MaxManifestBytes {
		return nil, errors.Errorf("the manifest has %d bytes, above %d", len(body), MaxManifestBytes)
	}
	return body, nil
}

// ParseManifest decodes the stored form of a manifest and checks its bounds. It
// returns an error for a manifest that is too large, has an unsupported format,
// has no version, has no or too many parts, or contains an invalid hash.
func ParseManifest(body []byte) (Manifest, error) {
	var m Manifest
	if len(body) > MaxManifestBytes {
		return m, errors.Errorf("the manifest has %d bytes, above %d", len(body), MaxManifestBytes)
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "decode the manifest")
	}
	if m.Format < 1 || m.Format > CurrentFormat {
		return Manifest{}, errors.Errorf("the manifest has format %d; this program reads up to %d", m.Format, CurrentFormat)
	}
	if m.Change.Version == 0 || len(m.Parts) == 0 || len(m.Parts) > MaxParts {
		return Manifest{}, errors.Errorf("the manifest has version %d and %d parts", m.Change.Version, len(m.Parts))
	}
	for _, hash := range m.Parts {
		if raw, err := base64.RawURLEncoding.DecodeString(hash); err != nil || len(raw) != hashBytes {
			return Manifest{}, errors.New("the manifest names a part by no valid hash")
		}
	}
	return m, nil
}

// ManifestDigest returns a short checksum of a manifest's stored form: the
// first 64 bits of its SHA-256 hash. Hosts send it to each other to compare the
// manifests that they have for a version.
func ManifestDigest(manifest []byte) uint64 {
	sum := sha256.Sum256(manifest)
	return binary.BigEndian.Uint64(sum[:])
}

// PartHash returns the hash that names a part: the SHA-256 hash of its content
// as URL-safe base64 text.
func PartHash(part []byte) string {
	sum := sha256.Sum256(part)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// PartKey returns the key in the object API of the part with the given hash.
func PartKey(hash string) string {
	return PartPrefix + hash
}
