package experiment

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/platform"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// store is the simulated object API and the way to it.
type store struct {
	world   *Simulation
	objects *standin.Objects
	down    bool
}

// reply is what one call brought.
type reply struct {
	result lease.Result
	object platform.Object
}

// call sends one call through delays and losses. done is called exactly once;
// a call that was given up may still take effect.
func (s *store) call(apply func() reply, done func(reply)) {
	w := s.world
	finished := false
	finish := func(r reply) {
		if !finished {
			finished = true
			done(r)
		}
	}
	w.after(w.config.Timeout, func() { finish(reply{result: lease.Unknown}) })
	if w.chance(w.config.Faults.Lose) {
		return
	}
	delay := w.upTo(w.config.Delay)
	if w.chance(w.config.Faults.Late) {
		delay = w.upTo(w.config.Faults.LateTime)
	}
	w.after(delay, func() {
		r := reply{result: lease.Refused}
		if !s.down {
			r = apply()
		}
		if w.chance(w.config.Faults.Lose) {
			return
		}
		answer := w.upTo(w.config.Delay)
		if w.chance(w.config.Faults.Late) {
			answer = w.upTo(w.config.Timeout)
		}
		w.after(answer, func() { finish(r) })
	})
}

func (s *store) read(key string) reply {
	s.world.Result.Reads["lease"]++
	return s.outcome(s.state().Get(key))
}

func (s *store) write(key string, e lease.Write) reply {
	s.world.Result.Writes["lease"]++
	return s.outcome(s.state().Put(key, e.Value, e.Base))
}

func (s *store) state() *standin.Objects {
	if s.objects == nil {
		s.objects = standin.NewObjects()
	}
	return s.objects
}

func (s *store) outcome(o platform.Object, err error) reply {
	s.world.Result.Bytes += len(o.Value)
	switch {
	case err == nil:
		return reply{result: lease.OK, object: o}
	case errors.Is(err, platform.ErrNotFound):
		return reply{result: lease.NotFound}
	}
	return reply{result: lease.Conflict}
}

func (s *store) configuration(above uint64) controller.ConfigurationRead {
	w := s.world
	w.Result.Reads["manifest"]++
	read := controller.ConfigurationRead{Version: w.version}
	if w.version > above {
		c := w.accepted
		read.Configuration = &c
		w.Result.Reads["part"]++
		if body, err := json.Marshal(c); err == nil {
			w.Result.Bytes += len(body)
		}
	}
	return read
}

func (s *store) hosts() []platform.Host {
	w := s.world
	w.Result.Reads["hosts"]++
	hosts := make([]platform.Host, 0, len(w.hosts)+len(w.engines))
	for _, h := range w.hosts {
		hosts = append(hosts, platform.Host{Name: h.name, Address: h.name, DataCentre: dataCentre, Role: "entry"})
	}
	for _, e := range w.engines {
		hosts = append(hosts, platform.Host{Name: e.name, Address: e.name, DataCentre: dataCentre, Role: "engine"})
	}
	for range w.config.Elsewhere {
		hosts = append(hosts, platform.Host{Name: "engine-elsewhere", DataCentre: "elsewhere", Role: "engine"})
	}
	w.Result.Bytes += listBytes(hosts)
	return hosts
}

// listBytes is the size of the list of hosts as sent, counted without encoding.
func listBytes(hosts []platform.Host) int {
	const frame = len(`{"name":"","address":"127.0.0.1:65535","data_centre":"","role":"","leaving":false},`)
	n := 0
	for _, h := range hosts {
		n += frame + len(h.Name) + len(h.DataCentre) + len(h.Role)
	}
	return n
}

// named finds an engine.
func (w *Simulation) named(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
