package configuration

// partial holds the beginnings of what peers send in several answers.
type partial struct {
	parts map[string][]byte
	// manifest is the beginning of the manifest at host and version.
	manifest []byte
	host     string
	version  uint64
}

func newPartial() partial {
	return partial{parts: make(map[string][]byte)}
}

// manifestFrom drops a beginning that came from another host.
func (p *partial) manifestFrom(host string) {
	if p.host != host {
		p.host = host
		p.version = 0
		p.manifest = nil
	}
}

func (t *Tracker) storeAnswered(e StoreFetchResult) {
	if e.ID == t.learning.id {
		t.learningRead(e)
		return
	}
	if !t.fetch.active || e.ID != t.fetch.id || t.fetch.host != "" {
		return
	}
	if e.Outcome != OutcomeAnswered {
		t.fetchFailed()
		return
	}
	t.fetch.active = false
	if len(t.fetch.wants) == 0 {
		t.storeManifest(e)
		return
	}
	t.storeParts(e)
}

// storeManifest takes a read of the manifest. When it was read for a version
// that a peer claims and shows nothing new, the next read waits longer.
func (t *Tracker) storeManifest(e StoreFetchResult) {
	expected := !t.reread
	t.reread = false
	if e.Manifest != nil {
		t.offerManifest(e.Manifest, "")
	}
	if expected && t.candidate == nil {
		t.store.failed(t)
		return
	}
	t.store.succeeded()
}

// storeParts takes parts from the object API. When one is gone, the version
// was superseded and the manifest is read again.
func (t *Tracker) storeParts(e StoreFetchResult) {
	for _, part := range e.Parts {
		t.keepPart(part.Hash, part.Bytes)
	}
	for _, w := range t.fetch.wants {
		if _, held := t.heldPart(w.Part); !held {
			t.candidate = nil
			t.reread = true
			t.store.failed(t)
			return
		}
	}
	t.store.succeeded()
}

// keepPart stores a part of the candidate if its hash is right.
func (t *Tracker) keepPart(hash string, body []byte) bool {
	if len(body) > MaxPartBytes || PartHash(body) != hash {
		return false
	}
	t.cache[hash] = body
	return true
}

func (t *Tracker) peerFailed(e PeerFetchFailed) {
	if t.fetch.active && e.ID == t.fetch.id && e.Host == t.fetch.host {
		t.fetchFailed()
	}
}

func (t *Tracker) peerAnswered(e PeerAnswer) {
	if !t.fetch.active || e.Answer.ID != t.fetch.id || e.Host != t.fetch.host {
		return
	}
	t.fetch.active = false
	t.hear(e.Host, e.Answer.Version, e.Answer.Digest)
	progress := false
	for i, c := range e.Answer.Chunks {
		if i >= len(t.fetch.wants) || c.Part != t.fetch.wants[i].Part || !t.takeChunk(e, c) {
			progress = false
			break
		}
		progress = true
	}
	if !progress {
		t.peerLacked(e.Host)
	}
}

// peerLacked keeps away from a peer whose answer did not help. When a newer
// version is known, the candidate's parts may be gone everywhere; its manifest
// gives way to the newer one, and the parts collected are kept.
func (t *Tracker) peerLacked(host string) {
	t.avoid(host)
	if t.candidate != nil && t.highest > t.candidate.version() {
		t.candidate = nil
	}
}

// takeChunk adds a chunk to what came before and says whether it fitted.
func (t *Tracker) takeChunk(e PeerAnswer, c Chunk) bool {
	if len(c.Bytes) == 0 || len(c.Bytes) > MaxAnswerBytes || c.Total > MaxPartBytes || c.Offset+len(c.Bytes) > c.Total {
		return false
	}
	if c.Part == ManifestPart {
		return t.takeManifestChunk(e, c)
	}
	body := t.partial.parts[c.Part]
	if c.Offset != len(body) {
		return false
	}
	body = append(body, c.Bytes...)
	if len(body) < c.Total {
		t.partial.parts[c.Part] = body
		return true
	}
	delete(t.partial.parts, c.Part)
	return t.keepPart(c.Part, body)
}

func (t *Tracker) takeManifestChunk(e PeerAnswer, c Chunk) bool {
	p := &t.partial
	if c.Offset == 0 {
		p.manifest = nil
		p.version = e.Answer.Version
	}
	if p.host != e.Host || p.version != e.Answer.Version || c.Offset != len(p.manifest) {
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
	t.offerManifest(raw, e.Host)
	return max(t.floor(), t.candidate.version()) >= e.Answer.Version
}
