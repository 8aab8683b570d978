package experiment

import (
	"fmt"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
)

// store is the object API with virtual time. It holds one manifest and parts.
type store struct {
	w        *world
	object   uint64
	raw      []byte
	manifest configuration.Manifest
	parts    map[string][]byte
	declared intent.Configuration
	// waiting are the watches open, by host index.
	waiting map[int]waiter
}

type waiter struct {
	host        *host
	incarnation int
	effect      configuration.StartWatch
	silent      bool
}

func newStore(w *world) *store {
	s := &store{w: w, parts: make(map[string][]byte), waiting: make(map[int]waiter)}
	c := intent.New()
	for i := range w.o.DataCentres {
		c.AddDataCentres("", fmt.Sprintf("dc-%02d", i))
	}
	c.AddModel(intent.NewModel("model", "v1", 1_000_000).PlacedIn("dc-00", 0))
	c.AddKinds(intent.ModelKind("question"))
	for i := range w.o.Organisations {
		share, bound := 1+w.random.IntN(1000), 1+w.random.IntN(10_000)
		c.AddOrganisations(intent.NewOrganisation(fmt.Sprintf("org-%04d", i), float64(share)).Bounded(bound))
	}
	s.declared = *c
	return s
}

func (s *store) version() uint64 { return s.manifest.Change.Version }

func (s *store) down() bool {
	return s.w.now >= s.w.o.OutageFrom && s.w.now < s.w.o.OutageTo
}

// silent draws whether a watch that starts now never ends.
func (s *store) silent() bool {
	drawn := s.w.random.Float64() < s.w.o.SilentWatches
	return drawn || (s.w.now >= s.w.o.SilentFrom && s.w.now < s.w.o.SilentTo)
}

// unreachable says whether a host's calls fail.
func (s *store) unreachable(h *host) bool {
	cut := s.w.now >= s.w.o.Settle && h.index%s.w.o.DataCentres < s.w.o.CutDataCentres
	return cut || s.down()
}

// accept changes one organisation. Its calls count as an operator's would.
func (s *store) accept() error {
	s.declared.Organisations[s.w.random.IntN(len(s.declared.Organisations))].Share++
	parts, err := configuration.Split(s.declared)
	if err != nil {
		return err
	}
	var hashes []string
	held := make(map[string][]byte, len(parts))
	for _, p := range parts {
		hashes = append(hashes, p.Hash)
		if _, known := s.parts[p.Hash]; !known {
			s.w.record.called(s.w)
		}
		held[p.Hash] = p.Bytes
	}
	s.parts = held
	s.manifest = s.manifest.Next("operator", "", fmt.Sprint(s.object), hashes)
	if s.raw, err = s.manifest.Encode(); err != nil {
		return err
	}
	s.object++
	s.w.record.called(s.w)
	s.w.record.called(s.w)
	s.notify()
	return nil
}

// notify ends the watches that wait for the manifest.
func (s *store) notify() {
	for i := range s.w.hosts {
		if v, ok := s.waiting[i]; ok && !v.silent {
			delete(s.waiting, i)
			s.answer(v)
		}
	}
}

func (s *store) answer(v waiter) {
	if s.unreachable(v.host) {
		s.reply(v.host, v.incarnation, configuration.WatchResult{ID: v.effect.ID, Outcome: configuration.OutcomeFailed})
		return
	}
	result := configuration.WatchResult{ID: v.effect.ID, ReachedStoreVersion: s.object}
	if s.object > v.effect.AfterStoreVersion {
		result.Manifest = s.raw
	}
	s.reply(v.host, v.incarnation, result)
}

func (s *store) reply(h *host, incarnation int, e configuration.Event) {
	delay := s.w.o.StoreDelay
	s.w.after(s.w.between(delay, 2*delay), func() { s.w.deliver(h, incarnation, e) })
}

// forget drops a host's watch.
func (s *store) forget(h *host) {
	delete(s.waiting, h.index)
}

func (s *store) watch(h *host, e configuration.StartWatch) {
	s.w.record.called(s.w)
	v := waiter{host: h, incarnation: h.incarnation, effect: e, silent: s.silent()}
	if s.unreachable(h) {
		s.reply(h, h.incarnation, configuration.WatchResult{ID: e.ID, Outcome: configuration.OutcomeFailed})
		return
	}
	if s.object > e.AfterStoreVersion && !v.silent {
		s.answer(v)
		return
	}
	s.waiting[h.index] = v
	s.w.after(e.Wait, func() { s.expire(v) })
}

// expire ends a watch that has waited its time.
func (s *store) expire(v waiter) {
	open, ok := s.waiting[v.host.index]
	if ok && open.effect.ID == v.effect.ID && open.incarnation == v.incarnation && !v.silent {
		delete(s.waiting, v.host.index)
		s.answer(v)
	}
}

func (s *store) fetch(h *host, e configuration.FetchFromStore) {
	result := configuration.StoreFetchResult{ID: e.ID}
	if e.Manifest {
		s.w.record.called(s.w)
		result.Manifest = s.raw
	}
	for _, hash := range e.Parts {
		s.w.record.called(s.w)
		if body, ok := s.parts[hash]; ok {
			result.Parts = append(result.Parts, configuration.Part{Hash: hash, Bytes: body})
		}
	}
	if s.unreachable(h) {
		result = configuration.StoreFetchResult{ID: e.ID, Outcome: configuration.OutcomeFailed}
	}
	s.reply(h, h.incarnation, result)
}
