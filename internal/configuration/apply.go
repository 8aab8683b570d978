package configuration

import (
	"strconv"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// offerManifest takes a manifest from the object API (host empty) or a peer
// and makes it the candidate if it is newer than all known here.
func (t *Tracker) offerManifest(raw []byte, host string) {
	digest := ManifestDigest(raw)
	if digest == t.rejected.digest && t.rejected.version > 0 {
		return
	}
	m, err := ParseManifest(raw)
	if err != nil {
		t.reject(rejection{version: t.versionOf(host), digest: digest}, host, err.Error())
		return
	}
	version := m.Change.Version
	switch {
	case version < t.holding.Version:
		if host == "" {
			t.emit(Report{Kind: ReportStoreOutdated, Version: version})
		}
	case version == t.holding.Version:
		if digest != t.holding.Digest {
			t.dispute(version, host)
		}
	case version > t.candidate.version():
		t.candidate = &candidate{raw: raw, digest: digest, manifest: m}
		t.trimCache()
	}
}

func (t *Tracker) reject(r rejection, host, detail string) {
	r.version = max(r.version, t.rejected.version)
	t.rejected = r
	t.emit(Report{Kind: ReportVersionRejected, Version: r.version, Host: host, Detail: detail})
}

// trimCache keeps only the parts that the candidate names.
func (t *Tracker) trimCache() {
	named := make(map[string]bool, len(t.candidate.manifest.Parts))
	for _, hash := range t.candidate.manifest.Parts {
		named[hash] = true
	}
	for hash := range t.cache {
		if !named[hash] {
			delete(t.cache, hash)
		}
	}
	for hash := range t.partial.parts {
		if !named[hash] {
			delete(t.partial.parts, hash)
		}
	}
}

// apply puts the candidate, whose parts are all held, in force.
func (t *Tracker) apply() {
	c := t.candidate
	t.candidate = nil
	parts, sections, err := t.decodeCandidate(c)
	if err != nil {
		t.reject(rejection{version: c.version(), digest: c.digest}, "", err.Error())
		return
	}
	whole := join(inOrder(c.manifest.Parts, sections))
	if findings := whole.Check(); len(findings) > 0 {
		detail := strconv.Itoa(len(findings)) + " findings, the first: " + finding.Finding(findings[0]).String()
		t.reject(rejection{version: c.version(), digest: c.digest}, "", detail)
		return
	}
	first := t.holding.Version == 0
	t.holding = Snapshot{Version: c.version(), Digest: c.digest, Manifest: c.raw, Parts: parts}
	t.change = c.manifest.Change
	t.sections = sections
	t.cache = make(map[string][]byte)
	t.partial = newPartial()
	t.behind.active = false
	t.emit(Apply{Version: c.version(), Digest: c.digest, Change: t.change, Configuration: whole})
	if first && !t.learning.storeAnswered {
		t.emit(Report{Kind: ReportLearnedFromPeers, Version: c.version()})
	}
	t.announce()
}

// decodeCandidate returns the candidate's parts and their content, decoding
// only what the version in force does not share.
func (t *Tracker) decodeCandidate(c *candidate) (map[string][]byte, map[string]section, error) {
	parts := make(map[string][]byte, len(c.manifest.Parts))
	sections := make(map[string]section, len(c.manifest.Parts))
	for _, hash := range c.manifest.Parts {
		parts[hash], _ = t.heldPart(hash)
		s, decoded := t.sections[hash]
		if !decoded {
			var err error
			if s, err = decodePart(parts[hash]); err != nil {
				return nil, nil, err
			}
		}
		sections[hash] = s
	}
	return parts, sections, nil
}

func inOrder(hashes []string, sections map[string]section) []section {
	list := make([]section, len(hashes))
	for i, hash := range hashes {
		list[i] = sections[hash]
	}
	return list
}
