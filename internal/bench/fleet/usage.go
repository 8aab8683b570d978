package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTicks is the kernel's unit of processor time, in ticks a second.
const clockTicks = 100

// Usage is the processor time of processes at one moment.
type Usage struct {
	at   time.Time
	used map[string]time.Duration
}

// Usage reads the processor time that each running process has used.
func (f *Fleet) Usage() Usage {
	u := Usage{at: time.Now(), used: make(map[string]time.Duration)}
	for _, p := range f.processes.All() {
		if used, err := processorTime(p.PID()); err == nil {
			u.used[p.Name] += used
		}
	}
	return u
}

// SharesSince returns the share of one core that each process has used since
// an earlier reading.
func (u Usage) SharesSince(earlier Usage) map[string]float64 {
	passed := u.at.Sub(earlier.at).Seconds()
	if passed <= 0 {
		return nil
	}
	shares := make(map[string]float64, len(u.used))
	for name, used := range u.used {
		before, known := earlier.used[name]
		if known && used >= before {
			shares[name] = (used - before).Seconds() / passed
		}
	}
	return shares
}

// Fields of /proc/PID/stat after the program's name, counted from 0.
const (
	statUser   = 11
	statSystem = 12
)

func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading a process's processor time")
	}
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= statSystem {
		return 0, errors.Errorf("processor time of process %d is not in the form known", pid)
	}
	ticks := 0
	for _, field := range []string{fields[statUser], fields[statSystem]} {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, errors.Wrap(err, "reading a process's processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}
