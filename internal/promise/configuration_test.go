package promise

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	// inForce bounds the time until an accepted configuration is in force on
	// every host that can be reached.
	inForce = 5 * time.Second
	// fromPeers bounds the time until a fresh host learns it from its peers.
	fromPeers = 10 * time.Second
	// silentFor is how long a host without peers is watched not to be ready.
	silentFor = 3 * time.Second
)

// change submits another configuration.
func (w *world) change() {
	w.t.Helper()
	c := w.fleet.Deployment.Configuration()
	c.Organisations[0].Share += float64(w.version%2) + 1
	w.version = w.submit(c, w.version)
}

// serves reports whether a host says that it serves by the newest version.
func (w *world) serves(h fleet.Host) bool {
	s, err := w.fleet.Status(w.ctx, h)
	return err == nil && s.Ready && s.ConfigVersion == w.version
}

// ready reports whether a host answers that it is ready.
func (w *world) ready(h fleet.Host) bool {
	response, err := http.Get("http://" + h.Callers + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// versions follows the version of every router process until stop is called,
// which returns the steps back that were seen.
func (w *world) versions() (stop func() []string) {
	ctx, cancel := context.WithCancel(w.ctx)
	var wait sync.WaitGroup
	var back []string
	wait.Go(func() {
		seen := make(map[*fleet.Process]uint64)
		for ctx.Err() == nil {
			for _, h := range w.fleet.Hosts {
				process := w.router(h)
				s, err := w.fleet.Status(ctx, h)
				if err != nil || process != w.router(h) {
					continue
				}
				if s.ConfigVersion < seen[process] {
					back = append(back, h.Name)
				}
				seen[process] = s.ConfigVersion
			}
			time.Sleep(poll)
		}
	})
	return func() []string {
		cancel()
		wait.Wait()
		return back
	}
}

func (w *world) restart(h fleet.Host) {
	w.t.Helper()
	router := w.router(h)
	must(w.t, fleet.Kill(router))
	router.Wait(time.Second)
	must(w.t, w.fleet.StartRouter(h))
}

// everywhere fails the test unless all hosts serve by the newest version in time.
func (w *world) everywhere(limit time.Duration) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for _, h := range w.fleet.Hosts {
		w.eventually(h.Name+" serves by the accepted version", time.Until(end), func() bool { return w.serves(h) })
	}
}

// TestAcceptedConfigurationGetsEverywhere submits changes while a host
// restarts, takes the platform down right after the last, and restarts hosts
// during the outage.
func TestAcceptedConfigurationGetsEverywhere(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 4, policy: policyDefault})
	stop := w.versions()
	w.change()
	w.everywhere(inForce)
	router := w.router(w.host(0, 0))
	must(t, fleet.Kill(router))
	router.Wait(time.Second)
	w.change()
	must(t, w.fleet.StartRouter(w.host(0, 0)))
	w.eventually("one host has the change", inForce, func() bool {
		for _, h := range w.fleet.Hosts {
			if w.serves(h) {
				return true
			}
		}
		return false
	})
	w.platform(fleet.PlatformFaults{Down: true})
	w.everywhere(fromPeers)
	w.restart(w.host(1, 1))
	w.everywhere(fromPeers)
	w.platform(fleet.PlatformFaults{})
	w.change()
	w.everywhere(inForce)
	for _, host := range stop() {
		t.Errorf("%s went back to an older version", host)
	}
}

// TestFreshHostWithoutPeersIsNotReady starts a host that reaches neither the
// platform nor another host.
func TestFreshHostWithoutPeersIsNotReady(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 2, policy: policyDefault})
	alone := w.host(1, 0)
	w.fleet.Network.CutDataCentre(1, true)
	w.restart(alone)
	w.eventually("the fresh host runs", 5*time.Second, func() bool {
		_, err := w.fleet.Status(w.ctx, alone)
		return err == nil
	})
	if w.holds(silentFor, func() bool { return w.ready(alone) }) {
		t.Error("a host that knows no configuration said that it is ready")
	}
	o := w.send(w.ctx, alone, w.prompt(1000, 8, streamLimit))
	if o.Status != http.StatusServiceUnavailable || o.ProblemOutcome != "not_run" || !o.HasRetryAfter {
		t.Errorf("it answered a prompt with %s, status %d, told %s, Retry-After %t", o.Result, o.Status, o.ProblemOutcome, o.HasRetryAfter)
	}
	w.fleet.Network.Heal()
	w.everywhere(2 * fromPeers)
}
