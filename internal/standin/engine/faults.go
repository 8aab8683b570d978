package engine

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

// InjectFault executes one command of the faults endpoint.
func (e *Engine) InjectFault(command fault.Command) error {
	switch command.Kind {
	case fault.Die:
		e.die(command.Duration())
	case fault.Silent:
		if running := e.currentInstance(); running != nil {
			running.listener.Silence()
		}
	case fault.Cut:
		if running := e.currentInstance(); running != nil {
			running.listener.CloseConnections()
		}
	case fault.Fail:
		e.failAllWork()
	case fault.RefuseMemory:
		e.refuseMemory(command.Duration())
	default:
		if command.Kind == fault.Clear {
			e.setRefuseMemory(false)
		}
		if err := e.faults.Apply(command); err != nil {
			return err
		}
	}
	e.emit(logevent.StandinFault, log.Fields{"kind": command.Kind, "for_ms": command.ForMillis})
	return nil
}

// failAllWork ends every work item that holds memory with an error.
func (e *Engine) failAllWork() {
	if running := e.currentInstance(); running != nil {
		running.withCore(func(core *batch.Engine, now time.Duration) {
			for _, w := range core.ListWork() {
				core.Fail(now, w.Work)
			}
		})
	}
}

// refuseMemory makes the engine refuse requests for memory for the duration, or
// until it is cleared if the duration is 0.
func (e *Engine) refuseMemory(duration time.Duration) {
	e.setRefuseMemory(true)
	if duration > 0 {
		time.AfterFunc(duration, func() { e.setRefuseMemory(false) })
	}
}

func (e *Engine) setRefuseMemory(on bool) {
	if running := e.currentInstance(); running != nil {
		running.withCore(func(core *batch.Engine, _ time.Duration) { core.SetRefuseMemory(on) })
	}
}

// die stops the instance in the background, since the command may have come over
// one of the connections that this closes. If the downtime is not 0, it starts a
// new instance after it.
func (e *Engine) die(downtime time.Duration) {
	e.pendingDeaths.Add(1)
	go func() {
		defer e.pendingDeaths.Done()
		e.stopInstance()
		if downtime == 0 {
			return
		}
		time.AfterFunc(downtime, func() {
			if err := e.startInstance(); err != nil {
				e.emit(logevent.StandinFailed, log.Fields{"error": err.Error()})
			}
		})
	}()
}
