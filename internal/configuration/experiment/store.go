package experiment

import (
	"fmt"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
)

// store is the object API in virtual time. It holds one manifest and the parts
// that the manifest names.
type store struct {
	simulation *simulation
	// objectVersion is the object version of the manifest, and raw its encoded
	// form.
	objectVersion uint64
	raw           []byte
	manifest      configuration.Manifest
	parts         map[string][]byte
	// current is the accepted configuration in decoded form, which accept
	// changes.
	current intent.Configuration
	// openWatches holds the open watch of each host by the host's index.
	openWatches map[int]openWatch
}

// openWatch is a watch that has not ended yet.
type openWatch struct {
	host *host
	// incarnation is that of the host's process that started the watch.
	incarnation int
	effect      configuration.StartWatch
	// silent means that the watch never ends.
	silent bool
}

// newStore returns an empty store. It prepares the first configuration, which
// is accepted by the first call of accept.
func newStore(sim *simulation) *store {
	s := &store{simulation: sim, parts: make(map[string][]byte), openWatches: make(map[int]openWatch)}
	c := intent.New()
	for i := range sim.options.DataCentres {
		c.AddDataCentres("", fmt.Sprintf("dc-%02d", i))
	}
	c.AddModel(intent.NewModel("model", "v1", 1_000_000).PlacedIn("dc-00", 0))
	c.AddKinds(intent.ModelKind("question"))
	for i := range sim.options.Organisations {
		share, bound := 1+sim.random.IntN(1000), 1+sim.random.IntN(10_000)
		c.AddOrganisations(intent.NewOrganisation(fmt.Sprintf("org-%04d", i), float64(share)).Bounded(bound))
	}
	s.current = *c
	return s
}

// version returns the accepted version.
func (s *store) version() uint64 { return s.manifest.Change.Version }

// inOutage reports whether the object API is unavailable now.
func (s *store) inOutage() bool {
	return s.simulation.now >= s.simulation.options.OutageFrom && s.simulation.now < s.simulation.options.OutageTo
}

// drawSilent draws at random whether a watch that starts now stays silent
// forever. In the period from SilentFrom to SilentTo every watch does.
func (s *store) drawSilent() bool {
	drawn := s.simulation.random.Float64() < s.simulation.options.SilentWatchShare
	return drawn || (s.simulation.now >= s.simulation.options.SilentFrom && s.simulation.now < s.simulation.options.SilentTo)
}

// unreachable reports whether a host's calls to the object API fail now.
func (s *store) unreachable(h *host) bool {
	cut := s.simulation.now >= s.simulation.options.WarmUp && h.index%s.simulation.options.DataCentres < s.simulation.options.CutDataCentres
	return cut || s.inOutage()
}

// accept changes one organisation and stores the result as the next accepted
// version. The calls that an operator would make for it are counted.
func (s *store) accept() error {
	s.current.Organisations[s.simulation.random.IntN(len(s.current.Organisations))].Share++
	parts, err := configuration.Split(s.current)
	if err != nil {
		return err
	}
	var hashes []string
	held := make(map[string][]byte, len(parts))
	for _, p := range parts {
		hashes = append(hashes, p.Hash)
		if _, known := s.parts[p.Hash]; !known {
			s.simulation.measurements.recordCall(s.simulation)
		}
		held[p.Hash] = p.Bytes
	}
	s.parts = held
	s.manifest = s.manifest.Next("operator", "", fmt.Sprint(s.objectVersion), hashes)
	if s.raw, err = s.manifest.Encode(); err != nil {
		return err
	}
	s.objectVersion++
	s.simulation.measurements.recordCall(s.simulation)
	s.simulation.measurements.recordCall(s.simulation)
	s.answerWatches()
	return nil
}

// answerWatches ends all open watches that are not silent, after the manifest
// has changed.
func (s *store) answerWatches() {
	for i := range s.simulation.hosts {
		if open, ok := s.openWatches[i]; ok && !open.silent {
			delete(s.openWatches, i)
			s.answerWatch(open)
		}
	}
}

// answerWatch sends the result of a watch to its host.
func (s *store) answerWatch(open openWatch) {
	if s.unreachable(open.host) {
		s.reply(open.host, open.incarnation, configuration.WatchResult{ID: open.effect.ID, Outcome: configuration.OutcomeFailed})
		return
	}
	result := configuration.WatchResult{ID: open.effect.ID, ReachedStoreVersion: s.objectVersion}
	if s.objectVersion > open.effect.AfterStoreVersion {
		result.Manifest = s.raw
	}
	s.reply(open.host, open.incarnation, result)
}

// reply delivers the result of a call to a host after a random delay.
func (s *store) reply(h *host, incarnation int, e configuration.Event) {
	delay := s.simulation.options.StoreDelay
	s.simulation.after(s.simulation.randomDuration(delay, 2*delay), func() { s.simulation.deliver(h, incarnation, e) })
}

// dropWatch removes a host's open watch without a result.
func (s *store) dropWatch(h *host) {
	delete(s.openWatches, h.index)
}

// watch starts a watch for a host.
func (s *store) watch(h *host, e configuration.StartWatch) {
	s.simulation.measurements.recordCall(s.simulation)
	open := openWatch{host: h, incarnation: h.incarnation, effect: e, silent: s.drawSilent()}
	if s.unreachable(h) {
		s.reply(h, h.incarnation, configuration.WatchResult{ID: e.ID, Outcome: configuration.OutcomeFailed})
		return
	}
	if s.objectVersion > e.AfterStoreVersion && !open.silent {
		s.answerWatch(open)
		return
	}
	s.openWatches[h.index] = open
	s.simulation.after(e.Wait, func() { s.expire(open) })
}

// expire ends a watch whose wait has passed, unless it has ended already or is
// silent.
func (s *store) expire(expired openWatch) {
	open, ok := s.openWatches[expired.host.index]
	if ok && open.effect.ID == expired.effect.ID && open.incarnation == expired.incarnation && !expired.silent {
		delete(s.openWatches, expired.host.index)
		s.answerWatch(expired)
	}
}

// fetch reads the manifest and parts for a host.
func (s *store) fetch(h *host, e configuration.FetchFromStore) {
	result := configuration.StoreFetchResult{ID: e.ID}
	if e.Manifest {
		s.simulation.measurements.recordCall(s.simulation)
		result.Manifest = s.raw
	}
	for _, hash := range e.Parts {
		s.simulation.measurements.recordCall(s.simulation)
		if body, ok := s.parts[hash]; ok {
			result.Parts = append(result.Parts, configuration.Part{Hash: hash, Bytes: body})
		}
	}
	if s.unreachable(h) {
		result = configuration.StoreFetchResult{ID: e.ID, Outcome: configuration.OutcomeFailed}
	}
	s.reply(h, h.incarnation, result)
}
