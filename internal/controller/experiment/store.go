package experiment

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/platform"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// store is the simulated object API together with the network in front of it.
type store struct {
	simulation  *Simulation
	objects     *standin.Objects
	unavailable bool
}

// callReply is the outcome of one call.
type callReply struct {
	result lease.Result
	object platform.Object
}

// startCall carries out one call with delays and losses. It runs done exactly
// once. A call that was given up may still take effect.
func (s *store) startCall(apply func() callReply, done func(callReply)) {
	sim := s.simulation
	finished := false
	finish := func(r callReply) {
		if !finished {
			finished = true
			done(r)
		}
	}
	sim.scheduleAfter(sim.config.Timeout, func() { finish(callReply{result: lease.Unknown}) })
	if sim.occurs(sim.config.Faults.LossProbability) {
		return
	}
	delay := sim.randomUpTo(sim.config.MaxDelay)
	if sim.occurs(sim.config.Faults.LateProbability) {
		delay = sim.randomUpTo(sim.config.Faults.MaxLateDelay)
	}
	sim.scheduleAfter(delay, func() {
		r := callReply{result: lease.Refused}
		if !s.unavailable {
			r = apply()
		}
		if sim.occurs(sim.config.Faults.LossProbability) {
			return
		}
		answerDelay := sim.randomUpTo(sim.config.MaxDelay)
		if sim.occurs(sim.config.Faults.LateProbability) {
			answerDelay = sim.randomUpTo(sim.config.Timeout)
		}
		sim.scheduleAfter(answerDelay, func() { finish(r) })
	})
}

// read reads an object and counts the read.
func (s *store) read(key string) callReply {
	s.simulation.Result.Reads["lease"]++
	return s.toReply(s.leaseObjects().Get(key))
}

// write makes a conditional write of the lease and counts it.
func (s *store) write(key string, e lease.Write) callReply {
	s.simulation.Result.Writes["lease"]++
	return s.toReply(s.leaseObjects().Put(key, e.Value, e.Base))
}

// leaseObjects returns the stored objects, which it creates on first use.
func (s *store) leaseObjects() *standin.Objects {
	if s.objects == nil {
		s.objects = standin.NewObjects()
	}
	return s.objects
}

// toReply converts the result of an operation on the objects and counts its
// bytes.
func (s *store) toReply(o platform.Object, err error) callReply {
	s.simulation.Result.Bytes += len(o.Value)
	switch {
	case err == nil:
		return callReply{result: lease.OK, object: o}
	case errors.Is(err, platform.ErrNotFound):
		return callReply{result: lease.NotFound}
	}
	return callReply{result: lease.Conflict}
}

// configuration returns the accepted configuration if its version is above the
// given one, and the version alone otherwise.
func (s *store) configuration(above uint64) controller.ConfigurationRead {
	sim := s.simulation
	sim.Result.Reads["manifest"]++
	read := controller.ConfigurationRead{Version: sim.version}
	if sim.version > above {
		c := sim.accepted
		read.Configuration = &c
		sim.Result.Reads["part"]++
		if body, err := json.Marshal(c); err == nil {
			sim.Result.Bytes += len(body)
		}
	}
	return read
}

// hosts returns the platform's list of hosts: the controllers and engines of
// the simulated data centre and the entries of the others.
func (s *store) hosts() []platform.Host {
	sim := s.simulation
	sim.Result.Reads["hosts"]++
	hosts := make([]platform.Host, 0, len(sim.hosts)+len(sim.engines))
	for _, h := range sim.hosts {
		hosts = append(hosts, platform.Host{Name: h.name, Address: h.name, DataCentre: dataCentre, Role: "entry"})
	}
	for _, e := range sim.engines {
		hosts = append(hosts, platform.Host{Name: e.name, Address: e.name, DataCentre: dataCentre, Role: "engine"})
	}
	for range sim.config.Elsewhere {
		hosts = append(hosts, platform.Host{Name: "engine-elsewhere", DataCentre: "elsewhere", Role: "engine"})
	}
	sim.Result.Bytes += hostListBytes(hosts)
	return hosts
}

// hostListBytes returns the encoded size of the list of hosts, computed without
// encoding it.
func hostListBytes(hosts []platform.Host) int {
	// frame is the size of an entry apart from its name, data centre and role.
	const frame = len(`{"name":"","address":"127.0.0.1:65535","data_centre":"","role":"","leaving":false},`)
	n := 0
	for _, h := range hosts {
		n += frame + len(h.Name) + len(h.DataCentre) + len(h.Role)
	}
	return n
}

// engineNamed returns the engine with the given name, or nil.
func (sim *Simulation) engineNamed(name string) *engine {
	for _, e := range sim.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
