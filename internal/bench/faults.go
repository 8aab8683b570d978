package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// Faults begin and end after these shares of the duration of a run.
const (
	faultStartShare = 0.2
	faultEndShare   = 0.6
)

const (
	// lostAnswerShare is the share of the platform's answers that are lost, from
	// 0 to 1.
	lostAnswerShare = 0.1
	// changeInterval is the pause between two changes of the configuration.
	changeInterval = 2 * time.Second
	// drainLimit is the longest time that a stopping router may take to finish
	// its requests.
	drainLimit = 180 * time.Second
	// leavingObservation is the time for which upstreams are observed after they
	// announced that they leave.
	leavingObservation = 10 * time.Second
)

// platformOutage makes the platform unavailable for a while. During the outage,
// it kills a host and starts a fresh one in its place. After the outage, it
// submits a change of the configuration.
func platformOutage(ctx context.Context, st *scenarioRun) error {
	if err := st.waitUntilShare(ctx, faultStartShare); err != nil {
		return err
	}
	st.logFault("the platform goes down")
	if err := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{Down: true}); err != nil {
		return err
	}
	fresh := st.fleet.Hosts[len(st.fleet.Hosts)-1]
	if err := st.restart(fresh, st.kill); err != nil {
		return err
	}
	if err := st.recordReadyBy(ctx, fresh, faultEndShare); err != nil {
		return err
	}
	if err := st.waitUntilShare(ctx, faultEndShare); err != nil {
		return err
	}
	st.logFault("the platform is back")
	if err := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{}); err != nil {
		return err
	}
	if err := st.returnToBalancer(ctx, fresh); err != nil {
		return err
	}
	return st.measureChange(ctx)
}

// recordReadyBy adds a note to the report on whether a fresh host is ready before
// the given share of the duration has passed.
func (st *scenarioRun) recordReadyBy(ctx context.Context, h fleet.Host, share float64) error {
	began := time.Now()
	limited, cancel := context.WithDeadline(ctx, st.started.Add(time.Duration(share*float64(st.duration))))
	defer cancel()
	if st.fleet.WaitRouterReady(limited, h) != nil {
		st.notes = append(st.notes, "the fresh host "+h.Name+" was not ready while the platform was down")
		return errors.Wrap(ctx.Err(), "the run was stopped")
	}
	st.fleet.AddToBalancer(h.Name)
	st.notes = append(st.notes, fmt.Sprintf("the fresh host %s was ready %.2f s after its start while the platform was down", h.Name, time.Since(began).Seconds()))
	return nil
}

// lostAnswers makes the platform lose a share of its answers after the calls took
// effect, while the configuration changes repeatedly.
func lostAnswers(ctx context.Context, st *scenarioRun) error {
	st.logFault("the platform loses %g of its answers", lostAnswerShare)
	if err := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{LoseAnswerProbability: lostAnswerShare}); err != nil {
		return err
	}
	err := changeConfigurationUntil(ctx, st, faultEndShare)
	if restored := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{}); err == nil {
		err = restored
	}
	return err
}

// configChurn changes the configuration repeatedly during the whole run.
func configChurn(ctx context.Context, st *scenarioRun) error {
	return changeConfigurationUntil(ctx, st, 1)
}

// changeConfigurationUntil submits changes of the configuration until the given
// share of the duration has passed.
func changeConfigurationUntil(ctx context.Context, st *scenarioRun, endShare float64) error {
	end := st.started.Add(time.Duration(endShare * float64(st.duration)))
	for time.Now().Before(end) {
		if err := st.measureChange(ctx); err != nil {
			return err
		}
		if err := st.sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	return nil
}

// cutDataCentre disconnects the last data centre from the others and from the
// platform, and changes the configuration in the meantime. It measures the time
// from the reconnection until the change is in force everywhere.
func cutDataCentre(ctx context.Context, st *scenarioRun) error {
	if err := st.waitUntilShare(ctx, faultStartShare); err != nil {
		return err
	}
	last := len(st.options.Deployment.DataCentres) - 1
	st.logFault("data centre %s is disconnected", st.options.Deployment.DataCentres[last])
	st.fleet.Network.CutDataCentre(last, true)
	version, err := st.submitChange(ctx)
	if err != nil {
		st.fleet.Network.Heal()
		return err
	}
	err = st.waitUntilShare(ctx, faultEndShare)
	if outdated := st.outdatedHosts(version); err == nil && len(outdated) == 0 {
		err = errors.New("the change reached every host during the cut")
	}
	st.fleet.Network.Heal()
	st.logFault("the data centre is connected again")
	if err != nil {
		return err
	}
	healed := time.Now()
	waiting, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	if err := st.waitVersion(waiting, version); err != nil {
		st.notes = append(st.notes, err.Error())
	}
	took := time.Since(healed).Seconds()
	st.report.ConfigInForceSeconds = &took
	return nil
}

// hostChurn replaces one host in three, one after the other, while the
// configuration changes. It also makes an engine and a service leave.
func hostChurn(ctx context.Context, st *scenarioRun) error {
	if err := st.announceLeaving(ctx); err != nil {
		return err
	}
	replaced := make(chan error, 1)
	go func() { replaced <- st.replaceHosts(ctx) }()
	err := changeConfigurationUntil(ctx, st, faultEndShare)
	if failed := <-replaced; err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	return st.measureLeaving(ctx)
}

// replaceEvery determines which hosts are replaced: one in every replaceEvery.
const replaceEvery = 3

// replaceHosts drains the first of the hosts to be replaced, and kills the others
// as a power failure does.
func (st *scenarioRun) replaceHosts(ctx context.Context) error {
	for i, h := range st.fleet.Hosts {
		if i%replaceEvery != 0 {
			continue
		}
		end := st.kill
		if i == 0 {
			end = st.drain
		}
		if err := st.replace(ctx, h, end); err != nil {
			return err
		}
	}
	return nil
}

// replace ends the programs of a host, starts fresh ones in their place and
// returns the host to the load balancer.
func (st *scenarioRun) replace(ctx context.Context, h fleet.Host, end func(fleet.Host) error) error {
	if err := st.restart(h, end); err != nil {
		return err
	}
	return st.returnToBalancer(ctx, h)
}

// restart removes a host from the load balancer, ends its programs and starts
// fresh ones.
func (st *scenarioRun) restart(h fleet.Host, end func(fleet.Host) error) error {
	st.fleet.RemoveFromBalancer(h.Name)
	if err := end(h); err != nil {
		return err
	}
	st.dropStatus(h.Name)
	if err := st.fleet.StartRouter(h); err != nil {
		return err
	}
	return st.fleet.StartController(h)
}

// returnToBalancer waits until a host is ready and adds it to the load balancer
// again.
func (st *scenarioRun) returnToBalancer(ctx context.Context, h fleet.Host) error {
	ready, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := st.fleet.WaitRouterReady(ready, h); err != nil {
		return err
	}
	st.fleet.AddToBalancer(h.Name)
	return nil
}

// drain asks the programs of a host to stop and waits until they have ended.
func (st *scenarioRun) drain(h fleet.Host) error {
	st.logFault("host %s is asked to stop", h.Name)
	for _, p := range st.fleet.ProcessesOf(h.Name) {
		if err := fleet.Drain(p); err != nil {
			return err
		}
	}
	for _, p := range st.fleet.ProcessesOf(h.Name) {
		if !p.Wait(drainLimit) {
			return errors.Errorf("%s did not end within %s of being asked to", p.Name, drainLimit)
		}
		if err := p.Err(); err != nil {
			st.notes = append(st.notes, p.Name+" ended with "+err.Error())
		}
	}
	return nil
}

// kill ends the programs of a host as a power failure does.
func (st *scenarioRun) kill(h fleet.Host) error {
	st.logFault("host %s is killed", h.Name)
	st.conditions.KilledHosts[h.CallersRelay] = true
	for _, p := range st.fleet.ProcessesOf(h.Name) {
		if err := fleet.Kill(p); err != nil {
			return err
		}
		p.Wait(startLimit)
	}
	return nil
}

// announceLeaving makes the last engine and the last service announce that they
// leave.
func (st *scenarioRun) announceLeaving(ctx context.Context) error {
	if err := st.waitUntilShare(ctx, faultStartShare); err != nil {
		return err
	}
	for _, u := range st.fleet.LastUpstreams() {
		st.logFault("%s announces that it leaves", u.Name)
		if err := st.fleet.AnnounceLeaving(ctx, u); err != nil {
			return err
		}
	}
	return nil
}

// measureLeaving measures the longest time after which a leaving upstream still
// received new work.
func (st *scenarioRun) measureLeaving(ctx context.Context) error {
	if err := st.sleep(ctx, leavingObservation); err != nil {
		return err
	}
	counts, err := st.fleet.Counts(ctx, false)
	if err != nil {
		return err
	}
	quiet := counts.LastWorkWhileLeaving().Seconds()
	st.report.LeavingQuietSeconds = &quiet
	return nil
}
