package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"
)

// Keys of the object API under which an accepted configuration lives.
const (
	// ManifestKey names the manifest; its conditional update is the acceptance.
	ManifestKey = "configuration/manifest"
	// PartPrefix is followed by a part's hash.
	PartPrefix = "configuration/parts/"
)

// Bounds of the stored form.
const (
	// CurrentFormat is the newest format of manifests and parts that this code reads.
	CurrentFormat = 1
	// MaxPartBytes is the largest part, half of what the object API holds.
	MaxPartBytes = 512 << 10
	// MaxManifestBytes is the largest manifest.
	MaxManifestBytes = 512 << 10
	// MaxParts is the largest number of parts of one configuration.
	MaxParts = 8192
	// MaxEarlierChanges is how many changes before the newest a manifest names. A
	// writer whose answer was lost recognises its change among them.
	MaxEarlierChanges = 8
	// MaxAuthorBytes and MaxNoteBytes bound what an operator says about a change.
	MaxAuthorBytes = 64
	MaxNoteBytes   = 200
)

const hashBytes = sha256.Size

// Change is one accepted configuration change.
type Change struct {
	// Version is one more than the version that the change was based on.
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Note    string `json:"note"`
	// Nonce tells changes apart, also those of the same author and note.
	Nonce string `json:"nonce"`
}

// Manifest lists what an accepted configuration consists of.
type Manifest struct {
	Format int    `json:"format"`
	Change Change `json:"change"`
	// EarlierChanges lists the changes before, the newest first.
	EarlierChanges []Change `json:"earlier,omitempty"`
	// Parts are the hashes of the configuration's parts.
	Parts []string `json:"parts"`
}

// Next returns the manifest that follows m with the change and parts given.
// The zero Manifest stands for no accepted configuration.
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

// FindChange returns the change with the nonce, if the manifest names it.
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

// ChangesSince returns the changes after the version given, the newest first, as far
// as the manifest names them.
func (m Manifest) ChangesSince(version uint64) []Change {
	var changes []Change
	for _, c := range append([]Change{m.Change}, m.EarlierChanges...) {
		if c.Version > version {
			changes = append(changes, c)
		}
	}
	return changes
}

// Encode returns the stored form.
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

// ParseManifest reads the stored form and checks its bounds.
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

// ManifestDigest is a short checksum of a manifest's stored form, for announcements.
func ManifestDigest(manifest []byte) uint64 {
	sum := sha256.Sum256(manifest)
	return binary.BigEndian.Uint64(sum[:])
}

// PartHash names a part by its content.
func PartHash(part []byte) string {
	sum := sha256.Sum256(part)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// PartKey returns the object key of a part.
func PartKey(hash string) string {
	return PartPrefix + hash
}
