package configuration

import (
	"strconv"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// considerManifest examines a manifest received from the object API (empty
// host) or from a peer. The manifest becomes the candidate if its version is
// higher than the version in force and than that of the current candidate. A
// manifest that was rejected before is ignored.
func (t *Tracker) considerManifest(raw []byte, host string) {
	digest := ManifestDigest(raw)
	if digest == t.lastRejection.digest && t.lastRejection.version > 0 {
		return
	}
	m, err := ParseManifest(raw)
	if err != nil {
		t.rejectVersion(rejection{version: t.lastKnownVersion(host), digest: digest}, host, err.Error())
		return
	}
	version := m.Change.Version
	switch {
	case version < t.inForce.Version:
		if host == "" {
			t.emit(Report{Kind: ReportStoreOutdated, Version: version})
		}
	case version == t.inForce.Version:
		if digest != t.inForce.Digest {
			t.reportVersionConflict(version, host)
		}
	case version > t.candidate.version():
		t.candidate = &candidate{raw: raw, digest: digest, manifest: m}
		t.dropUnneededParts()
	}
}

// rejectVersion records and reports a version that cannot be put in force.
func (t *Tracker) rejectVersion(r rejection, host, detail string) {
	r.version = max(r.version, t.lastRejection.version)
	t.lastRejection = r
	t.emit(Report{Kind: ReportVersionRejected, Version: r.version, Host: host, Detail: detail})
}

// dropUnneededParts discards the collected parts and partial reads that the
// candidate does not name.
func (t *Tracker) dropUnneededParts() {
	named := make(map[string]bool, len(t.candidate.manifest.Parts))
	for _, hash := range t.candidate.manifest.Parts {
		named[hash] = true
	}
	for hash := range t.collectedParts {
		if !named[hash] {
			delete(t.collectedParts, hash)
		}
	}
	for hash := range t.partialReads.parts {
		if !named[hash] {
			delete(t.partialReads.parts, hash)
		}
	}
}

// applyCandidate puts the candidate in force, all of whose parts this host has.
// A candidate that cannot be decoded or that has findings is rejected.
func (t *Tracker) applyCandidate() {
	c := t.candidate
	t.candidate = nil
	parts, sections, err := t.decodeCandidate(c)
	if err != nil {
		t.rejectVersion(rejection{version: c.version(), digest: c.digest}, "", err.Error())
		return
	}
	joined := joinSections(sectionsInOrder(c.manifest.Parts, sections))
	if findings := joined.Check(); len(findings) > 0 {
		detail := strconv.Itoa(len(findings)) + " findings, the first: " + finding.Finding(findings[0]).String()
		t.rejectVersion(rejection{version: c.version(), digest: c.digest}, "", detail)
		return
	}
	firstVersion := t.inForce.Version == 0
	t.inForce = Snapshot{Version: c.version(), Digest: c.digest, Manifest: c.raw, Parts: parts}
	t.inForceChange = c.manifest.Change
	t.inForceSections = sections
	t.collectedParts = make(map[string][]byte)
	t.partialReads = newPartialReads()
	t.outdated.active = false
	t.emit(Apply{Version: c.version(), Digest: c.digest, Change: t.inForceChange, Configuration: joined})
	if firstVersion && !t.learning.storeAnswered {
		t.emit(Report{Kind: ReportLearnedFromPeers, Version: c.version()})
	}
	t.announceInForce()
}

// decodeCandidate returns the candidate's parts and their decoded content by
// hash. It decodes only the parts that the version in force does not share.
func (t *Tracker) decodeCandidate(c *candidate) (map[string][]byte, map[string]section, error) {
	parts := make(map[string][]byte, len(c.manifest.Parts))
	sections := make(map[string]section, len(c.manifest.Parts))
	for _, hash := range c.manifest.Parts {
		parts[hash], _ = t.heldPart(hash)
		s, decoded := t.inForceSections[hash]
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

// sectionsInOrder returns the sections with the given hashes, in the order of
// the hashes.
func sectionsInOrder(hashes []string, sections map[string]section) []section {
	list := make([]section, len(hashes))
	for i, hash := range hashes {
		list[i] = sections[hash]
	}
	return list
}
