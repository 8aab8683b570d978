package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTicks is the number of clock ticks per second in which the kernel reports
// processor time.
const clockTicks = 100

// Usage is a snapshot of the processor time that the processes of a fleet have
// used.
type Usage struct {
	takenAt        time.Time
	processorTimes map[string]time.Duration
}

// Usage reads the processor time that each running process has used so far.
func (f *Fleet) Usage() Usage {
	u := Usage{takenAt: time.Now(), processorTimes: make(map[string]time.Duration)}
	for _, p := range f.processes.All() {
		if used, err := processorTime(p.PID()); err == nil {
			u.processorTimes[p.Name] += used
		}
	}
	return u
}

// SharesSince returns, by process name, the share of one core that each process
// has used since an earlier snapshot. Processes that are missing in one of the
// snapshots, or whose time went down because they were restarted, are left out.
func (u Usage) SharesSince(earlier Usage) map[string]float64 {
	elapsedSeconds := u.takenAt.Sub(earlier.takenAt).Seconds()
	if elapsedSeconds <= 0 {
		return nil
	}
	shares := make(map[string]float64, len(u.processorTimes))
	for name, used := range u.processorTimes {
		before, known := earlier.processorTimes[name]
		if known && used >= before {
			shares[name] = (used - before).Seconds() / elapsedSeconds
		}
	}
	return shares
}

// The positions of the user and system time in /proc/PID/stat, counted from 0
// after the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processorTime returns the user and system time that a running process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading a process's processor time")
	}
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= statSystemTime {
		return 0, errors.Errorf("processor time of process %d is not in the form known", pid)
	}
	ticks := 0
	for _, field := range []string{fields[statUserTime], fields[statSystemTime]} {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, errors.Wrap(err, "reading a process's processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}
