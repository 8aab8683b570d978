package configuration

// partialReads holds content that peers have sent only in part, because it is
// spread over several answers.
type partialReads struct {
	parts map[string][]byte
	// manifest is the beginning of the manifest that manifestHost has for
	// manifestVersion.
	manifest        []byte
	manifestHost    string
	manifestVersion uint64
}

// newPartialReads returns a partialReads without content.
func newPartialReads() partialReads {
	return partialReads{parts: make(map[string][]byte)}
}

// dropManifestFromOtherHost discards the beginning of a manifest that was
// received from a host other than the given one.
func (p *partialReads) dropManifestFromOtherHost(host string) {
	if p.manifestHost != host {
		p.manifestHost = host
		p.manifestVersion = 0
		p.manifest = nil
	}
}

// handleStoreFetchResult processes the result of a read from the object API.
// Results of reads that are no longer awaited are ignored.
func (t *Tracker) handleStoreFetchResult(e StoreFetchResult) {
	if e.ID == t.learning.readID {
		t.handleInitialRead(e)
		return
	}
	if !t.fetch.active || e.ID != t.fetch.id || t.fetch.host != "" {
		return
	}
	if e.Outcome != OutcomeAnswered {
		t.handleFetchFailure()
		return
	}
	t.fetch.active = false
	if len(t.fetch.requested) == 0 {
		t.handleStoreManifest(e)
		return
	}
	t.handleStoreParts(e)
}

// handleStoreManifest processes a read of the manifest. If the manifest was
// read because a peer claims a newer version, but contains nothing new, the
// next read is delayed.
func (t *Tracker) handleStoreManifest(e StoreFetchResult) {
	claimedByPeer := !t.rereadManifest
	t.rereadManifest = false
	if e.Manifest != nil {
		t.considerManifest(e.Manifest, "")
	}
	if claimedByPeer && t.candidate == nil {
		t.storeBackoff.recordFailure(t)
		return
	}
	t.storeBackoff.reset()
}

// handleStoreParts collects parts read from the object API. If a part no longer
// exists, the candidate was superseded by a newer version, and the manifest is
// read again.
func (t *Tracker) handleStoreParts(e StoreFetchResult) {
	for _, part := range e.Parts {
		t.collectPart(part.Hash, part.Bytes)
	}
	for _, w := range t.fetch.requested {
		if _, held := t.heldPart(w.Part); !held {
			t.candidate = nil
			t.rereadManifest = true
			t.storeBackoff.recordFailure(t)
			return
		}
	}
	t.storeBackoff.reset()
}

// collectPart adds a complete part of the candidate, and reports whether its
// size and its hash are right. A part with a wrong size or hash is discarded.
func (t *Tracker) collectPart(hash string, body []byte) bool {
	if len(body) > MaxPartBytes || PartHash(body) != hash {
		return false
	}
	t.collectedParts[hash] = body
	return true
}

// handlePeerFetchFailed ends the request to a peer that failed, if it is still
// awaited.
func (t *Tracker) handlePeerFetchFailed(e PeerFetchFailed) {
	if t.fetch.active && e.ID == t.fetch.id && e.Host == t.fetch.host {
		t.handleFetchFailure()
	}
}

// handlePeerAnswer adds the chunks of an awaited answer. The answer has to
// contain the requested parts in the order of the request.
func (t *Tracker) handlePeerAnswer(e PeerAnswer) {
	if !t.fetch.active || e.Answer.ID != t.fetch.id || e.Host != t.fetch.host {
		return
	}
	t.fetch.active = false
	t.recordPeerVersion(e.Host, e.Answer.Version, e.Answer.Digest)
	progress := false
	for i, c := range e.Answer.Chunks {
		if i >= len(t.fetch.requested) || c.Part != t.fetch.requested[i].Part || !t.addChunk(e, c) {
			progress = false
			break
		}
		progress = true
	}
	if !progress {
		t.recordUnhelpfulAnswer(e.Host)
	}
}

// recordUnhelpfulAnswer avoids a peer for a while after an answer without
// usable content. If a version newer than the candidate is known, the
// candidate's parts may no longer exist anywhere. The candidate is then dropped
// so that the newer manifest can replace it, while the parts collected so far
// are kept.
func (t *Tracker) recordUnhelpfulAnswer(host string) {
	t.avoidPeer(host)
	if t.candidate != nil && t.highestPeerVersion > t.candidate.version() {
		t.candidate = nil
	}
}

// addChunk appends a chunk to the content received before, and reports whether
// it was valid and continued that content.
func (t *Tracker) addChunk(e PeerAnswer, c Chunk) bool {
	if len(c.Bytes) == 0 || len(c.Bytes) > MaxAnswerBytes || c.Total > MaxPartBytes || c.Offset+len(c.Bytes) > c.Total {
		return false
	}
	if c.Part == ManifestPart {
		return t.addManifestChunk(e, c)
	}
	body := t.partialReads.parts[c.Part]
	if c.Offset != len(body) {
		return false
	}
	body = append(body, c.Bytes...)
	if len(body) < c.Total {
		t.partialReads.parts[c.Part] = body
		return true
	}
	delete(t.partialReads.parts, c.Part)
	return t.collectPart(c.Part, body)
}

// addManifestChunk appends a chunk of the manifest, and reports whether it
// continued what the same host sent for the same version. A complete manifest
// must match the digest in the answer. The result is also false if, with the
// complete manifest, this host still has no version that is at least the one
// that the peer claims, be it a candidate, in force or rejected.
func (t *Tracker) addManifestChunk(e PeerAnswer, c Chunk) bool {
	p := &t.partialReads
	if c.Offset == 0 {
		p.manifest = nil
		p.manifestVersion = e.Answer.Version
	}
	if p.manifestHost != e.Host || p.manifestVersion != e.Answer.Version || c.Offset != len(p.manifest) {
		p.manifest = nil
		return false
	}
	p.manifest = append(p.manifest, c.Bytes...)
	if len(p.manifest) < c.Total {
		return true
	}
	raw := p.manifest
	p.manifest = nil
	if ManifestDigest(raw) != e.Answer.Digest {
		return false
	}
	t.considerManifest(raw, e.Host)
	return max(t.newestHandledVersion(), t.candidate.version()) >= e.Answer.Version
}
