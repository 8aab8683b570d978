package engine

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

// InjectFault carries out one order of the faults endpoint.
func (e *Engine) InjectFault(order fault.Command) error {
	switch order.Kind {
	case fault.Die:
		e.die(order.Duration())
	case fault.Silent:
		if l := e.current(); l != nil {
			l.listener.Silence()
		}
	case fault.Cut:
		if l := e.current(); l != nil {
			l.listener.CloseConnections()
		}
	case fault.Fail:
		e.failAll()
	case fault.RefuseMemory:
		e.refuseMemory(order.Duration())
	default:
		if order.Kind == fault.Clear {
			e.setRefusing(false)
		}
		if err := e.faults.Apply(order); err != nil {
			return err
		}
	}
	e.emit(logevent.StandinFault, log.Fields{"kind": order.Kind, "for_ms": order.ForMillis})
	return nil
}

// failAll ends every work with an error.
func (e *Engine) failAll() {
	if l := e.current(); l != nil {
		l.withCore(func(core *batch.Engine, now time.Duration) {
			for _, w := range core.ListWork() {
				core.Fail(now, w.Work)
			}
		})
	}
}

func (e *Engine) refuseMemory(lasts time.Duration) {
	e.setRefusing(true)
	if lasts > 0 {
		time.AfterFunc(lasts, func() { e.setRefusing(false) })
	}
}

func (e *Engine) setRefusing(on bool) {
	if l := e.current(); l != nil {
		l.withCore(func(core *batch.Engine, _ time.Duration) { core.SetRefuseMemory(on) })
	}
}

// die ends the life in the background, since the order may come over one of
// the connections that die with it.
func (e *Engine) die(lasts time.Duration) {
	e.pending.Add(1)
	go func() {
		defer e.pending.Done()
		e.end()
		if lasts == 0 {
			return
		}
		time.AfterFunc(lasts, func() {
			if err := e.begin(); err != nil {
				e.emit(logevent.StandinFailed, log.Fields{"error": err.Error()})
			}
		})
	}()
}
