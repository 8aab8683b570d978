package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/relay"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// Services of the stand-in's configuration.
const (
	engineService = "llm"
	deskService   = "desk"
)

const (
	// serveOn is how long a leaving server goes on beyond the drain bound.
	serveOn = time.Second
	// eventPause is the time before each event of a stream.
	eventPause = 20 * time.Millisecond
)

// server is a stand-in behind a relay. A place keeps its service when one
// leaves and the next one comes.
type server struct {
	service, dataCentre string
	world               *world
	link                *relay.Link

	mu      sync.Mutex
	number  int
	standIn *standin.Server
	relay   *relay.Relay
	// gone are the servers that stood here before.
	gone []*standin.Server
}

func newServer(w *world, index int) (*server, error) {
	s := &server{service: engineService, dataCentre: dataCentre(index), world: w, link: &relay.Link{}}
	if index >= w.config.Engines {
		s.service = deskService
	}
	return s, s.open(index)
}

// open starts a stand-in and registers it.
func (s *server) open(index int) error {
	s.number++
	next := standin.NewServer(fmt.Sprintf("%s-%d-%d", s.service, index, s.number))
	next.EventCount = streamEvents
	next.EventInterval = eventPause
	r, err := relay.Start("127.0.0.1:0", next.Address(), relay.SingleLink(s.link), s.world.config.Seed)
	if err != nil {
		return err
	}
	s.standIn, s.relay = next, r
	next.RegisterAt(s.world.store, r.Address(), s.service, s.dataCentre, standin.StateReady)
	return nil
}

func (s *server) present() (*standin.Server, *relay.Relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standIn, s.relay
}

// replace has another server come and then this one leave.
func (s *server) replace(index int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, oldRelay := s.standIn, s.relay
	if err := s.open(index); err != nil {
		return err
	}
	old.RegisterAt(s.world.store, oldRelay.Address(), s.service, s.dataCentre, standin.StateDraining)
	at := s.world.now()
	s.world.note(func(h *History) { h.Drains = append(h.Drains, Drain{Server: old.ID, At: at}) })
	s.gone = append(s.gone, old)
	time.AfterFunc(drainBound+serveOn, func() {
		s.world.store.Remove(standin.KindServers, old.ID)
		// The link is shared with the next server; only the listener goes.
		if err := oldRelay.Close(); err != nil {
			s.world.fail(err)
		}
	})
	return nil
}

// all are the servers that ever stood here.
func (s *server) all() []*standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*standin.Server(nil), s.gone...), s.standIn)
}
