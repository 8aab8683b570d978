// Package fleet starts the processes that a run of the bench measures and the
// relays between them, and stops all of them at the end. Of all packages, only
// those of the bench may start processes.
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

// Process is one program that the bench has started.
type Process struct {
	// Name is unique within the fleet.
	Name string

	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the exit error of the process, nil if it ended with exit code 0. It
// is valid only once Done is closed.
func (p *Process) Err() error { return p.err }

// Signal sends a signal to the process. It does nothing if the process has
// already ended.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
		return errors.Wrapf(p.command.Process.Signal(s), "signalling %s", p.Name)
	}
}

// Wait waits until the process ends or the time limit has passed, and reports
// whether the process has ended.
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

// Processes starts programs and stops them. If the bench dies, the kernel kills
// the programs: each is started with a parent-death signal, which is bound to the
// thread that started it.
type Processes struct {
	directory     string
	startRequests chan func()

	mu      sync.Mutex
	started []*Process
	closed  bool
}

// NewProcesses returns a Processes that writes the log of each program into
// directory.
func NewProcesses(directory string) *Processes {
	s := &Processes{directory: directory, startRequests: make(chan func())}
	go func() {
		// The kernel sends the parent-death signal when this thread ends, so the
		// thread must live as long as the programs that it starts.
		runtime.LockOSThread()
		for request := range s.startRequests {
			request()
		}
	}()
	return s
}

// Start starts a program under the given name, with its output appended to
// NAME.log. It fails after Close.
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
	s.startRequests <- func() { result <- command.Start() }
	if err := <-result; err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "starting %s as %s", name, program)
	}
	p := &Process{Name: name, command: command, log: log, done: make(chan struct{})}
	s.started = append(s.started, p)
	go p.reap()
	return p, nil
}

// reap waits for the program to exit and records its exit error.
func (p *Process) reap() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// All returns the programs started so far, including those that have ended.
func (s *Processes) All() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Process(nil), s.started...)
}

// killWait is the longest wait for a killed process to end.
const killWait = 5 * time.Second

// Close asks all programs to stop, and kills those that still run after the grace
// time. No program can be started afterwards.
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
		// A suspended process can't handle SIGTERM until it is resumed.
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
	close(s.startRequests)
}
