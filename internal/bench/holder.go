package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	// holderPause is longer than a lease lasts.
	holderPause = 20 * time.Second
	// ordersUnderWay is how long after a change of the model's version its
	// holders are paused, so that orders are under way.
	ordersUnderWay = 2 * time.Second
	// reconcileLimit bounds the wait for engines to hold what is declared.
	reconcileLimit = 90 * time.Second
	// reconcilePoll is how often the engines are asked meanwhile.
	reconcilePoll = 100 * time.Millisecond
	// nextVersion is the model version that the scenario changes to.
	nextVersion = "v2"
)

// pausedHolder changes the model's version, pauses the controllers that hold
// their data centre's lease while orders are under way, for longer than the
// lease, and lets them go on. It counts the orders that engines took under an
// old fencing number, and measures how long after the waking all engines hold
// what is declared.
func pausedHolder(ctx context.Context, st *stage) error {
	if !st.fleet.HasControllers() {
		return errors.New("there is no controller to pause")
	}
	if err := st.at(ctx, faultBegins); err != nil {
		return err
	}
	st.deployment.ModelVersion = nextVersion
	if err := st.changeInForce(ctx); err != nil {
		return err
	}
	if err := st.pause(ctx, ordersUnderWay); err != nil {
		return err
	}
	paused, err := st.pauseHolders(ctx)
	if err != nil {
		return err
	}
	if err := st.pause(ctx, holderPause); err != nil {
		return err
	}
	for _, p := range paused {
		st.tell("%s goes on", p.Name)
		if err := fleet.Continue(p); err != nil {
			return err
		}
	}
	return st.measureReconciled(ctx)
}

func (st *stage) pauseHolders(ctx context.Context) ([]*fleet.Process, error) {
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
		st.tell("%s is paused for %s", p.Name, holderPause)
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

// measureReconciled waits until every engine holds what is declared and a
// while longer, in which late orders would come.
func (st *stage) measureReconciled(ctx context.Context) error {
	woken := time.Now()
	model := st.deployment.Model + "@" + nextVersion
	others, err := st.fleet.EnginesNotHoldingOnly(ctx, model)
	for err == nil && len(others) > 0 && time.Since(woken) < reconcileLimit {
		if err = st.pause(ctx, reconcilePoll); err == nil {
			others, err = st.fleet.EnginesNotHoldingOnly(ctx, model)
		}
	}
	if err != nil {
		return err
	}
	took := time.Since(woken).Seconds()
	st.report.OrdersReconciledSeconds = &took
	if err := st.pause(ctx, leavingWatch); err != nil {
		return err
	}
	counts, err := st.fleet.Counts(ctx, false)
	if err != nil {
		return err
	}
	stale := counts.StaleOrders()
	st.report.OrdersFromOldHolderInEffect = &stale
	if others, err = st.fleet.EnginesNotHoldingOnly(ctx, model); err == nil && len(others) > 0 {
		st.notes = append(st.notes, fmt.Sprintf("%v do not hold just %s", others, model))
	}
	return err
}
