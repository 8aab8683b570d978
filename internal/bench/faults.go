package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// Parts of a run's duration at which faults begin and end.
const (
	faultBegins = 0.2
	faultEnds   = 0.6
)

const (
	// lostShare is the share of the platform's answers that are lost.
	lostShare = 0.1
	// changeInterval is the time between changes of the configuration.
	changeInterval = 2 * time.Second
	// drainLimit bounds how long a stopping router may finish its requests.
	drainLimit = 180 * time.Second
	// leavingWatch is how long upstreams are watched after they said that they leave.
	leavingWatch = 10 * time.Second
)

// outage takes the platform down for a while, in which a host is killed and a
// fresh one started, and submits a change after it.
func outage(ctx context.Context, st *stage) error {
	if err := st.at(ctx, faultBegins); err != nil {
		return err
	}
	st.tell("the platform goes down")
	if err := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{Down: true}); err != nil {
		return err
	}
	fresh := st.fleet.Hosts[len(st.fleet.Hosts)-1]
	if err := st.restart(fresh, st.killed); err != nil {
		return err
	}
	if err := st.readyBy(ctx, fresh, faultEnds); err != nil {
		return err
	}
	if err := st.at(ctx, faultEnds); err != nil {
		return err
	}
	st.tell("the platform is back")
	if err := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{}); err != nil {
		return err
	}
	if err := st.putBack(ctx, fresh); err != nil {
		return err
	}
	return st.changeInForce(ctx)
}

// readyBy notes whether a fresh host is ready before a part of the duration
// has passed.
func (st *stage) readyBy(ctx context.Context, h fleet.Host, part float64) error {
	began := time.Now()
	limited, cancel := context.WithDeadline(ctx, st.started.Add(time.Duration(part*float64(st.duration))))
	defer cancel()
	if st.fleet.WaitRouterReady(limited, h) != nil {
		st.notes = append(st.notes, "the fresh host "+h.Name+" was not ready while the platform was down")
		return errors.Wrap(ctx.Err(), "the run was stopped")
	}
	st.fleet.AddToBalancer(h.Name)
	st.notes = append(st.notes, fmt.Sprintf("the fresh host %s was ready %.2f s after its start while the platform was down", h.Name, time.Since(began).Seconds()))
	return nil
}

// lostAnswers loses answers of the platform after their calls took effect,
// while configurations change.
func lostAnswers(ctx context.Context, st *stage) error {
	st.tell("the platform loses %g of its answers", lostShare)
	if err := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{LoseAnswerProbability: lostShare}); err != nil {
		return err
	}
	err := churn(ctx, st, faultEnds)
	if restored := st.fleet.SetPlatformFaults(ctx, fleet.PlatformFaults{}); err == nil {
		err = restored
	}
	return err
}

// configChurn changes the configuration again and again.
func configChurn(ctx context.Context, st *stage) error { return churn(ctx, st, 1) }

// churn submits changes until a part of the duration has passed.
func churn(ctx context.Context, st *stage, until float64) error {
	end := st.started.Add(time.Duration(until * float64(st.duration)))
	for time.Now().Before(end) {
		if err := st.changeInForce(ctx); err != nil {
			return err
		}
		if err := st.pause(ctx, changeInterval); err != nil {
			return err
		}
	}
	return nil
}

// cut separates the last data centre from the others and from the platform,
// changes the configuration meanwhile, and measures how long after the healing
// the change is in force everywhere.
func cut(ctx context.Context, st *stage) error {
	if err := st.at(ctx, faultBegins); err != nil {
		return err
	}
	last := len(st.options.Deployment.DataCentres) - 1
	st.tell("data centre %s is cut off", st.options.Deployment.DataCentres[last])
	st.fleet.Network.CutDataCentre(last, true)
	version, err := st.change(ctx)
	if err != nil {
		st.fleet.Network.Heal()
		return err
	}
	err = st.at(ctx, faultEnds)
	if behind := st.behind(version); err == nil && len(behind) == 0 {
		err = errors.New("the change reached every host during the cut")
	}
	st.fleet.Network.Heal()
	st.tell("the cut is healed")
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
// configuration changes, and lets an engine and a service leave.
func hostChurn(ctx context.Context, st *stage) error {
	if err := st.leave(ctx); err != nil {
		return err
	}
	replaced := make(chan error, 1)
	go func() { replaced <- st.replaceHosts(ctx) }()
	err := churn(ctx, st, faultEnds)
	if failed := <-replaced; err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	return st.measureLeaving(ctx)
}

// replaceEvery is which hosts are replaced: one in so many.
const replaceEvery = 3

// replaceHosts drains the first of the hosts to be replaced, and kills the
// others as a power cut does.
func (st *stage) replaceHosts(ctx context.Context) error {
	for i, h := range st.fleet.Hosts {
		if i%replaceEvery != 0 {
			continue
		}
		end := st.killed
		if i == 0 {
			end = st.drained
		}
		if err := st.replace(ctx, h, end); err != nil {
			return err
		}
	}
	return nil
}

// replace ends a host's programs and starts fresh ones in their place.
func (st *stage) replace(ctx context.Context, h fleet.Host, end func(fleet.Host) error) error {
	if err := st.restart(h, end); err != nil {
		return err
	}
	return st.putBack(ctx, h)
}

// restart takes a host out of the balancer, ends its programs and starts them afresh.
func (st *stage) restart(h fleet.Host, end func(fleet.Host) error) error {
	st.fleet.RemoveFromBalancer(h.Name)
	if err := end(h); err != nil {
		return err
	}
	st.forget(h.Name)
	if err := st.fleet.StartRouter(h); err != nil {
		return err
	}
	return st.fleet.StartController(h)
}

// putBack waits until a host is ready and puts it back behind the balancer.
func (st *stage) putBack(ctx context.Context, h fleet.Host) error {
	ready, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := st.fleet.WaitRouterReady(ready, h); err != nil {
		return err
	}
	st.fleet.AddToBalancer(h.Name)
	return nil
}

// drained asks a host's programs to stop and waits until they have.
func (st *stage) drained(h fleet.Host) error {
	st.tell("host %s is asked to stop", h.Name)
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

// killed ends a host's programs as a power cut does.
func (st *stage) killed(h fleet.Host) error {
	st.tell("host %s is killed", h.Name)
	st.conditions.KilledHosts[h.CallersRelay] = true
	for _, p := range st.fleet.ProcessesOf(h.Name) {
		if err := fleet.Kill(p); err != nil {
			return err
		}
		p.Wait(startLimit)
	}
	return nil
}

// leave lets the last engine and the last service leave.
func (st *stage) leave(ctx context.Context) error {
	if err := st.at(ctx, faultBegins); err != nil {
		return err
	}
	for _, u := range st.fleet.LastUpstreams() {
		st.tell("%s says that it leaves", u.Name)
		if err := st.fleet.AnnounceLeaving(ctx, u); err != nil {
			return err
		}
	}
	return nil
}

// measureLeaving reads when the leaving upstreams were last given new work.
func (st *stage) measureLeaving(ctx context.Context) error {
	if err := st.pause(ctx, leavingWatch); err != nil {
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
