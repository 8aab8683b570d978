package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Crash reports a request that a server had hardly begun to answer when it crashed.
// Hosts exchange crashes and verdicts under the names of their fields.
type Crash struct {
	// Server identifies one run of the server, Host the host that saw its crash.
	Server, Host string
	// Begun is set when the server had sent the header of its answer. Without it, the
	// request may just have waited there.
	Begun bool
	// Parts are the shared parts of the request's prompt that have not been seen in
	// a sound answer lately, and the name of its content likewise; see ContentName.
	Parts []string
}

// Verdict is the quarantine of one part. Its times are relative to its sending.
type Verdict struct {
	Part string
	// Together lists the part itself and those that every suspected prompt with it
	// had too; the quarantine holds for prompts with all of them.
	Together []string
	// Servers are the runs of servers that crashed, and Hosts the hosts that saw it.
	Servers, Hosts []string
	// Trials is the number of requests that were let through since.
	Trials int
	// HoldLeft is the time until the next trial, Idle the time since a request with
	// the part was last met.
	HoldLeft, Idle time.Duration
}

// record is what is known about one part.
type record struct {
	// crashes holds when each server crashed and which host saw it.
	crashes map[string]seen
	// lastAt is when the last of them was reported.
	lastAt time.Duration
	// together lists the part and those that every suspected prompt with it had.
	together []string
	// convicted is set while the part is quarantined. holdUntil is when the next trial
	// may begin, after the given number of them.
	convicted bool
	holdUntil time.Duration
	trials    int
	// metAt is when a request with the part was last met, announceAt when this host
	// announces the verdict.
	metAt, announceAt time.Duration
}

// seen tells which host saw a crash, when it was reported here, when the same server was
// last reported to have crashed again, and whether the answer to a prompt with the part
// had begun.
type seen struct {
	host       string
	at, lastAt time.Duration
	begun      bool
}

// Table holds what one host knows about the parts of prompts. It is not safe for
// concurrent use.
type Table struct {
	config  Config
	random  *rand.Rand
	sound   soundParts
	records map[string]*record
	// explained holds when a server crashed under an answer that had begun, or under
	// what had been quarantined before, by server. What only waited there is then no
	// suspect.
	explained map[string]time.Duration
	// convicted is the number of records that are convicted.
	convicted int
}

// New returns an empty table, or an error if the configuration is not valid. The
// random numbers spread the hosts' announcements.
func New(config Config, random *rand.Rand) (*Table, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, err
	}
	return &Table{
		config: config, random: random, records: make(map[string]*record), explained: make(map[string]time.Duration),
		sound: newSoundParts(config.SoundMemory, config.MaxSoundParts),
	}, nil
}

// Len returns the number of quarantined parts and contents.
func (t *Table) Len() int { return t.convicted }

// Active reports whether any crash is remembered. Until then there is no use in naming
// the content of requests.
func (t *Table) Active() bool { return len(t.records) > 0 }

// RecordCrash records a crash that this host or another one saw. It returns the
// crash without the parts that were seen in sound answers lately, the verdicts
// to which it led, and the parts whose verdicts are withdrawn since another one explains
// their crashes.
func (t *Table) RecordCrash(c Crash, now time.Duration) (_ Crash, verdicts []Verdict, withdrawn []string) {
	var suspects []string
	for _, part := range c.Parts {
		if !t.sound.recent(part, now) && !slices.Contains(suspects, part) {
			suspects = append(suspects, part)
		}
	}
	c.Parts = suspects
	if c.Begun && !onlyContent(suspects) || slices.ContainsFunc(suspects, t.isConvicted) {
		maps.DeleteFunc(t.explained, func(_ string, at time.Duration) bool { return now-at > t.config.CrashMemory })
		t.explained[c.Server] = now
	}
	for _, part := range suspects {
		if r := t.record(part, now); r != nil {
			r.add(c, now, t.config.CrashMemory)
		}
	}
	for _, part := range suspects {
		if r := t.records[part]; r != nil && !r.convicted && t.suspicious(r) && !t.explainedByOther(r) {
			r.convicted, r.holdUntil, r.metAt = true, now+t.config.hold(0), now
			r.announceAt = t.nextAnnouncement(now)
			t.convicted++
			verdicts = append(verdicts, r.verdict(part, now))
		}
	}
	return c, verdicts, t.withdrawExplained()
}

// explainedByOther reports whether a quarantined part explains all crashes under this
// one, and more: the requests with this one were at those servers by chance.
func (t *Table) explainedByOther(r *record) bool {
	if t.convicted == 0 {
		return false
	}
	for _, other := range t.records {
		if other.convicted && len(other.crashes) > len(r.crashes) && containsKeys(other.crashes, r.crashes) {
			return true
		}
	}
	return false
}

// withdrawExplained ends the quarantine of parts whose crashes another one explains, and
// returns them.
func (t *Table) withdrawExplained() []string {
	var withdrawn []string
	if t.convicted < 2 {
		return nil
	}
	for _, part := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[part]; r.convicted && t.explainedByOther(r) {
			r.convicted, r.trials = false, 0
			t.convicted--
			withdrawn = append(withdrawn, part)
		}
	}
	return withdrawn
}

// onlyContent reports whether no suspect is a part of a prompt. The content of every
// request is a suspect at first, so a suspected content explains no crash.
func onlyContent(suspects []string) bool {
	return !slices.ContainsFunc(suspects, func(name string) bool { return !isContent(name) })
}

// isConvicted reports whether a part or a content is quarantined.
func (t *Table) isConvicted(name string) bool {
	r := t.records[name]
	return r != nil && r.convicted
}

// suspicious reports whether enough servers have crashed under a part, at moments that
// are far enough apart.
func (t *Table) suspicious(r *record) bool {
	count := 0
	var first, last time.Duration
	for server, s := range r.crashes {
		if _, explained := t.explained[server]; explained && !s.begun {
			continue
		}
		if count == 0 {
			first, last = s.at, s.at
		}
		count++
		first, last = min(first, s.at), max(last, s.lastAt)
	}
	return count >= t.config.MinCrashes && last-first >= t.config.MinSpan
}

// add records a crash, and forgets those that are too long ago.
func (r *record) add(c Crash, now, memory time.Duration) {
	if r.together == nil {
		r.together = slices.Clone(c.Parts)
	} else {
		r.together = intersect(r.together, c.Parts)
	}
	if known, ok := r.crashes[c.Server]; ok {
		known.begun, known.lastAt = known.begun || c.Begun, now
		r.crashes[c.Server] = known
		return
	}
	r.crashes[c.Server] = seen{host: c.Host, at: now, lastAt: now, begun: c.Begun}
	r.lastAt = now
	maps.DeleteFunc(r.crashes, func(_ string, s seen) bool { return now-s.at > memory })
}

// record returns the record of a part, which it creates if necessary. It returns nil
// if there are too many, all of which are convicted.
func (t *Table) record(part string, now time.Duration) *record {
	if r := t.records[part]; r != nil {
		return r
	}
	if len(t.records) >= t.config.MaxParts && !t.evict() {
		return nil
	}
	r := &record{crashes: make(map[string]seen), lastAt: now}
	t.records[part] = r
	return r
}

// evict removes the record that is not convicted and whose last crash is longest
// ago, and reports whether there was one.
func (t *Table) evict() bool {
	oldest := ""
	for part, r := range t.records {
		if !r.convicted && (oldest == "" || r.lastAt < t.records[oldest].lastAt) {
			oldest = part
		}
	}
	delete(t.records, oldest)
	return oldest != ""
}

// RecordSound records that a prompt with these parts got a sound answer, here or at
// another host. It returns the parts of which crashes were recorded before, which
// other hosts must learn, and those of them that were quarantined.
func (t *Table) RecordSound(parts []string, now time.Duration) (cleared, released []string) {
	for _, part := range parts {
		t.sound.record(part, now)
		if r := t.records[part]; r != nil {
			if r.convicted {
				released = append(released, part)
			}
			t.remove(part, r)
			cleared = append(cleared, part)
		}
	}
	if len(cleared) == 0 {
		return nil, nil
	}
	for _, r := range t.records {
		r.together = slices.DeleteFunc(r.together, func(part string) bool { return slices.Contains(cleared, part) })
	}
	return cleared, released
}

// remove deletes the record of a part.
func (t *Table) remove(part string, r *record) {
	if r.convicted {
		t.convicted--
	}
	delete(t.records, part)
}

// Match returns the verdicts that hold for a request with the given parts and content,
// in an order that is the same on all hosts.
func (t *Table) Match(parts []string, now time.Duration) []Verdict {
	if t.convicted == 0 {
		return nil
	}
	var verdicts []Verdict
	for _, part := range slices.Compact(slices.Sorted(slices.Values(parts))) {
		if r := t.records[part]; r != nil && r.convicted && containsAll(parts, r.together) {
			r.metAt = now
			verdicts = append(verdicts, r.verdict(part, now))
		}
	}
	return verdicts
}

// BeginTrial lets one request with a quarantined part through, and begins the next
// hold. Other hosts must learn of the verdict that it returns. It returns false if
// the hold is not over.
func (t *Table) BeginTrial(part string, now time.Duration) (Verdict, bool) {
	r := t.records[part]
	if r == nil || !r.convicted || now < r.holdUntil {
		return Verdict{}, false
	}
	r.trials++
	r.holdUntil = now + t.config.hold(r.trials)
	return r.verdict(part, now), true
}

// Adopt applies the verdict of another host. It returns false if this host has seen
// the part in a sound answer lately, which the other hosts must learn.
func (t *Table) Adopt(v Verdict, now time.Duration) bool {
	if t.sound.recent(v.Part, now) {
		return false
	}
	r := t.record(v.Part, now)
	if r == nil {
		return true
	}
	for i, server := range v.Servers[:min(len(v.Servers), len(v.Hosts))] {
		if _, known := r.crashes[server]; !known {
			r.crashes[server] = seen{host: v.Hosts[i], at: now, lastAt: now, begun: true}
		}
	}
	switch {
	case r.convicted:
		r.together = intersect(r.together, v.Together)
	case t.explainedByOther(r):
		return true
	default:
		t.convicted++
		r.convicted, r.together = true, slices.Clone(v.Together)
	}
	r.trials = max(r.trials, v.Trials)
	r.holdUntil = max(r.holdUntil, now+min(v.HoldLeft, t.config.MaxHold))
	r.metAt = max(r.metAt, now-v.Idle)
	r.announceAt = t.nextAnnouncement(now)
	return true
}

// nextAnnouncement returns when this host announces a verdict unless it hears it
// from another one before.
func (t *Table) nextAnnouncement(now time.Duration) time.Duration {
	return now + t.config.AnnounceInterval/2 + time.Duration(t.random.Int64N(int64(t.config.AnnounceInterval)))
}

// Due forgets what is too long ago, and returns the verdicts that this host must
// announce now.
func (t *Table) Due(now time.Duration) []Verdict {
	if len(t.records) == 0 {
		return nil
	}
	var due []Verdict
	for _, part := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[part]
		switch {
		case !r.convicted && now-r.lastAt > t.config.CrashMemory, r.convicted && now-r.metAt > t.config.IdleMemory:
			t.remove(part, r)
		case r.convicted && now >= r.announceAt:
			r.announceAt = t.nextAnnouncement(now)
			due = append(due, r.verdict(part, now))
		}
	}
	return due
}

// AnnounceSoon makes this host announce its verdicts within half an interval, for a
// host that is heard of for the first time, or again.
func (t *Table) AnnounceSoon(now time.Duration) {
	for _, part := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[part]
		r.announceAt = min(r.announceAt, now+time.Duration(t.random.Int64N(int64(t.config.AnnounceInterval/2))))
	}
}

// verdict returns the quarantine of a part in the form that hosts exchange.
func (r *record) verdict(part string, now time.Duration) Verdict {
	v := Verdict{
		Part: part, Together: slices.Clone(r.together), Trials: r.trials,
		HoldLeft: max(0, r.holdUntil-now), Idle: max(0, now-r.metAt),
	}
	for _, server := range slices.Sorted(maps.Keys(r.crashes)) {
		v.Servers = append(v.Servers, server)
		v.Hosts = append(v.Hosts, r.crashes[server].host)
	}
	return v
}

// intersect returns the elements of a that are in b.
func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(element string) bool { return !slices.Contains(b, element) })
}

// containsKeys reports whether all keys of wanted are in m.
func containsKeys(m, wanted map[string]seen) bool {
	for key := range wanted {
		if _, ok := m[key]; !ok {
			return false
		}
	}
	return true
}

// containsAll reports whether all elements of wanted are in list.
func containsAll(list, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(element string) bool { return !slices.Contains(list, element) })
}
