package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/relay"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// Services of the configuration that the stand-in of the platform provides.
const (
	engineService = "llm"
	plainService  = "desk"
)

const (
	// extraServeTime is how long a leaving server goes on beyond maxDrainTime.
	extraServeTime = time.Second
	// eventInterval is the time before each event of a stream.
	eventInterval = 20 * time.Millisecond
	// restLength is the rest that servers ask for.
	restLength = 2 * time.Second
)

// server is one server of the soak test: a stand-in process behind a relay. When
// the stand-in is replaced, the next one belongs to the same service and uses the
// same link.
type server struct {
	service, dataCentre string
	harness             *harness
	link                *relay.Link

	mu sync.Mutex
	// generation counts the stand-ins that were started for this server.
	generation int
	standIn    *standin.Server
	relay      *relay.Relay
	// replaced holds the earlier stand-ins of this server.
	replaced []*standin.Server
}

// newServer starts the server with an index from 0; the engines come first.
func newServer(hs *harness, index int) (*server, error) {
	s := &server{service: engineService, dataCentre: dataCentreName(index), harness: hs, link: &relay.Link{}}
	if index >= hs.config.Engines {
		s.service = plainService
	}
	return s, s.startStandIn(index)
}

// startStandIn starts a stand-in with a relay and registers it at the store.
func (s *server) startStandIn(index int) error {
	s.generation++
	next := standin.NewServer(fmt.Sprintf("%s-%d-%d", s.service, index, s.generation))
	next.CrashUnder(crashingPart)
	next.CrashUnderBody(crashingBody)
	next.EventCount = streamEvents
	next.EventInterval = eventInterval
	r, err := relay.Start("127.0.0.1:0", next.Address(), relay.SingleLink(s.link), s.harness.config.Seed)
	if err != nil {
		return err
	}
	s.standIn, s.relay = next, r
	next.RegisterAt(s.harness.store, r.Address(), s.service, s.dataCentre, standin.StateReady)
	return nil
}

// current returns the present stand-in and its relay.
func (s *server) current() (*standin.Server, *relay.Relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standIn, s.relay
}

// replace starts another stand-in and then registers the present one as leaving.
// The leaving one is removed from the store after the time to drain.
func (s *server) replace(index int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, oldRelay := s.standIn, s.relay
	if err := s.startStandIn(index); err != nil {
		return err
	}
	old.RegisterAt(s.harness.store, oldRelay.Address(), s.service, s.dataCentre, standin.StateDraining)
	at := s.harness.elapsed()
	s.harness.updateHistory(func(h *History) { h.Drains = append(h.Drains, Drain{Server: old.ID, At: at}) })
	s.replaced = append(s.replaced, old)
	time.AfterFunc(maxDrainTime+extraServeTime, func() {
		s.harness.store.Remove(standin.KindServers, old.ID)
		// The link is shared with the next stand-in, so only the old relay is
		// closed.
		if err := oldRelay.Close(); err != nil {
			s.harness.recordError(err)
		}
	})
	return nil
}

// allStandIns returns the present stand-in and all earlier ones.
func (s *server) allStandIns() []*standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*standin.Server(nil), s.replaced...), s.standIn)
}
