package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	// holderPause is the time for which lease holders are paused. It is longer
	// than a lease lasts.
	holderPause = 20 * time.Second
	// ordersInProgressDelay is the time from a change of the model's version
	// until the lease holders are paused, so that orders are in progress then.
	ordersInProgressDelay = 2 * time.Second
	// reconcileLimit is the longest wait for all engines to hold the declared
	// model version.
	reconcileLimit = 90 * time.Second
	// reconcilePoll is the interval at which the engines are asked during that
	// wait.
	reconcilePoll = 100 * time.Millisecond
	// nextModelVersion is the model version to which the scenario changes.
	nextModelVersion = "v2"
)

// pauseLeaseHolders changes the version of the model. While orders are in
// progress, it pauses the controllers that hold the lease of their data centre
// for longer than the lease lasts, and then lets them continue. It counts the
// orders that engines accepted with an outdated fencing number, and measures the
// time from the continuation until all engines hold the declared model version.
func pauseLeaseHolders(ctx context.Context, st *scenarioRun) error {
	if !st.fleet.HasControllers() {
		return errors.New("there is no controller to pause")
	}
	if err := st.waitUntilShare(ctx, faultStartShare); err != nil {
		return err
	}
	st.deployment.ModelVersion = nextModelVersion
	if err := st.measureChange(ctx); err != nil {
		return err
	}
	if err := st.sleep(ctx, ordersInProgressDelay); err != nil {
		return err
	}
	paused, err := st.pauseHolders(ctx)
	if err != nil {
		return err
	}
	if err := st.sleep(ctx, holderPause); err != nil {
		return err
	}
	for _, p := range paused {
		st.logFault("%s continues", p.Name)
		if err := fleet.Continue(p); err != nil {
			return err
		}
	}
	return st.measureReconciled(ctx)
}

// pauseHolders pauses every controller that states that it holds a lease, and
// returns their processes. It returns an error if there is none.
func (st *scenarioRun) pauseHolders(ctx context.Context) ([]*fleet.Process, error) {
	var paused []*fleet.Process
	for _, h := range st.fleet.Hosts {
		holds, err := st.fleet.HoldsLease(ctx, h)
		if err != nil {
			return paused, err
		}
		if !holds {
			continue
		}
		p := st.fleet.Controller(h.Name)
		st.logFault("%s is paused for %s", p.Name, holderPause)
		if err := fleet.Pause(p); err != nil {
			return paused, err
		}
		paused = append(paused, p)
	}
	if len(paused) == 0 {
		return nil, errors.New("no controller says that it holds a lease")
	}
	return paused, nil
}

// measureReconciled waits until every engine holds the declared model version,
// and then for a further period in which late orders would arrive.
func (st *scenarioRun) measureReconciled(ctx context.Context) error {
	woken := time.Now()
	model := st.deployment.Model + "@" + nextModelVersion
	notUpdated, err := st.fleet.EnginesNotHoldingOnly(ctx, model)
	for err == nil && len(notUpdated) > 0 && time.Since(woken) < reconcileLimit {
		if err = st.sleep(ctx, reconcilePoll); err == nil {
			notUpdated, err = st.fleet.EnginesNotHoldingOnly(ctx, model)
		}
	}
	if err != nil {
		return err
	}
	took := time.Since(woken).Seconds()
	st.report.OrdersReconciledSeconds = &took
	if err := st.sleep(ctx, leavingObservation); err != nil {
		return err
	}
	counts, err := st.fleet.Counts(ctx, false)
	if err != nil {
		return err
	}
	stale := counts.StaleOrders()
	st.report.OrdersFromOldHolderInEffect = &stale
	if notUpdated, err = st.fleet.EnginesNotHoldingOnly(ctx, model); err == nil && len(notUpdated) > 0 {
		st.notes = append(st.notes, fmt.Sprintf("%v do not hold just %s", notUpdated, model))
	}
	return err
}
