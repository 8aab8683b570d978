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
	// inForceLimit is the longest time until an accepted configuration is in force
	// on every host that can be reached.
	inForceLimit = 5 * time.Second
	// fromPeersLimit is the longest time until a newly started host learns the
	// accepted configuration from its peers.
	fromPeersLimit = 10 * time.Second
	// notReadyPeriod is the time during which a host without peers must not become ready.
	notReadyPeriod = 3 * time.Second
)

// submitChange submits a configuration that differs from the one before in a share.
func (w *fixture) submitChange() {
	w.t.Helper()
	c := w.fleet.Deployment.Configuration()
	c.Organisations[0].Share += float64(w.acceptedVersion%2) + 1
	w.acceptedVersion = w.submit(c, w.acceptedVersion)
}

// servesNewestVersion reports whether a host is ready and has the newest accepted
// version in force.
func (w *fixture) servesNewestVersion(h fleet.Host) bool {
	s, err := w.fleet.Status(w.ctx, h)
	return err == nil && s.Ready && s.ConfigVersion == w.acceptedVersion
}

// isReady reports whether a host answers on /readyz that it is ready.
func (w *fixture) isReady(h fleet.Host) bool {
	response, err := http.Get("http://" + h.Callers + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// watchVersions reads the configuration version of every router process until
// stop is called. The function stop returns the names of the hosts that went back
// to an older version without a restart, once for each time.
func (w *fixture) watchVersions() (stop func() []string) {
	ctx, cancel := context.WithCancel(w.ctx)
	var wait sync.WaitGroup
	var regressions []string
	wait.Go(func() {
		seen := make(map[*fleet.Process]uint64)
		for ctx.Err() == nil {
			for _, h := range w.fleet.Hosts {
				process := w.routerProcess(h)
				s, err := w.fleet.Status(ctx, h)
				if err != nil || process != w.routerProcess(h) {
					continue
				}
				if s.ConfigVersion < seen[process] {
					regressions = append(regressions, h.Name)
				}
				seen[process] = s.ConfigVersion
			}
			time.Sleep(pollInterval)
		}
	})
	return func() []string {
		cancel()
		wait.Wait()
		return regressions
	}
}

// restartRouter kills the router of a host and starts it again.
func (w *fixture) restartRouter(h fleet.Host) {
	w.t.Helper()
	router := w.routerProcess(h)
	requireNoError(w.t, fleet.Kill(router))
	router.Wait(time.Second)
	requireNoError(w.t, w.fleet.StartRouter(h))
}

// waitInForceEverywhere ends the test as failed unless, within the limit, all
// hosts have the newest accepted version in force.
func (w *fixture) waitInForceEverywhere(limit time.Duration) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for _, h := range w.fleet.Hosts {
		w.eventually(h.Name+" serves with the accepted version", time.Until(end), func() bool { return w.servesNewestVersion(h) })
	}
}

// TestAcceptedConfigurationReachesAllHosts submits a change while a host
// restarts and takes the platform down as soon as the first host has the change,
// so that the others must get it from their peers. It restarts another host
// during the outage.
func TestAcceptedConfigurationReachesAllHosts(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 4, policy: policyDefault})
	stop := w.watchVersions()
	w.submitChange()
	w.waitInForceEverywhere(inForceLimit)
	router := w.routerProcess(w.host(0, 0))
	requireNoError(t, fleet.Kill(router))
	router.Wait(time.Second)
	w.submitChange()
	requireNoError(t, w.fleet.StartRouter(w.host(0, 0)))
	w.eventually("one host has the change", inForceLimit, func() bool {
		for _, h := range w.fleet.Hosts {
			if w.servesNewestVersion(h) {
				return true
			}
		}
		return false
	})
	w.setPlatformFaults(fleet.PlatformFaults{Down: true})
	w.waitInForceEverywhere(fromPeersLimit)
	w.restartRouter(w.host(1, 1))
	w.waitInForceEverywhere(fromPeersLimit)
	w.setPlatformFaults(fleet.PlatformFaults{})
	w.submitChange()
	w.waitInForceEverywhere(inForceLimit)
	for _, host := range stop() {
		t.Errorf("%s went back to an older version", host)
	}
}

// TestFreshHostWithoutPeersIsNotReady restarts a host that can reach neither the
// platform nor another host. As it knows no configuration, it must not become
// ready and must refuse requests.
func TestFreshHostWithoutPeersIsNotReady(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 2, policy: policyDefault})
	isolated := w.host(1, 0)
	w.fleet.Network.CutDataCentre(1, true)
	w.restartRouter(isolated)
	w.eventually("the fresh host runs", 5*time.Second, func() bool {
		_, err := w.fleet.Status(w.ctx, isolated)
		return err == nil
	})
	if w.waitFor(notReadyPeriod, func() bool { return w.isReady(isolated) }) {
		t.Error("a host that knows no configuration reported that it is ready")
	}
	o := w.send(w.ctx, isolated, w.promptRequest(1000, 8, streamLimit))
	if o.Status != http.StatusServiceUnavailable || o.ProblemOutcome != "not_run" || !o.HasRetryAfter {
		t.Errorf("it answered a prompt with %s, status %d, execution reported as %s, Retry-After %t", o.Result, o.Status, o.ProblemOutcome, o.HasRetryAfter)
	}
	w.fleet.Network.Heal()
	w.waitInForceEverywhere(2 * fromPeersLimit)
}
