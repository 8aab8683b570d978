// Package fleet starts the processes that a run measures, the relays between
// them, and stops all of them again. Only the bench starts processes.
package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one started program.
type Process struct {
	// Name is unique within the fleet.
	Name string

	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err is how the process ended, once Done is closed.
func (p *Process) Err() error { return p.err }

// Signal sends a signal; a process that has ended is left alone.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
		return errors.Wrapf(p.command.Process.Signal(s), "signalling %s", p.Name)
	}
}

// Wait waits until the process ends or the time has passed, and reports
// whether it ended.
func (p *Process) Wait(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// Processes starts programs and ends them. The kernel ends them too if the
// bench dies, because each is bound to the thread that started it.
type Processes struct {
	directory string
	requests  chan func()

	mu      sync.Mutex
	started []*Process
	closed  bool
}

// NewProcesses returns a starter that writes each program's log into directory.
func NewProcesses(directory string) *Processes {
	s := &Processes{directory: directory, requests: make(chan func())}
	go func() {
		// The thread must live as long as the programs it starts.
		runtime.LockOSThread()
		for request := range s.requests {
			request()
		}
	}()
	return s
}

// Start starts a program.
func (s *Processes) Start(name, program string, args ...string) (*Process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.Errorf("starting %s: the fleet is being stopped", name)
	}
	log, err := os.OpenFile(filepath.Join(s.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the log of %s", name)
	}
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error)
	s.requests <- func() { result <- command.Start() }
	if err := <-result; err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "starting %s as %s", name, program)
	}
	p := &Process{Name: name, command: command, log: log, done: make(chan struct{})}
	s.started = append(s.started, p)
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// All lists the programs started so far.
func (s *Processes) All() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Process(nil), s.started...)
}

// killWait bounds the wait for a killed process to be gone.
const killWait = 5 * time.Second

// Close asks all programs to stop, and kills those that still run after the
// time given. No program can be started afterwards.
func (s *Processes) Close(grace time.Duration) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	started := s.started
	s.mu.Unlock()
	for _, p := range started {
		// A paused process can't stop by itself.
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGTERM)
	}
	limit := time.Now().Add(grace)
	for _, p := range started {
		if !p.Wait(time.Until(limit)) {
			_ = p.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range started {
		p.Wait(killWait)
	}
	close(s.requests)
}
