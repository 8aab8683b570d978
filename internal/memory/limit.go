package memory

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	// defaultProcessBytes is the memory of a process for which nothing names a limit.
	defaultProcessBytes = 512 << 20
	// mappedPart and minMappedBytes are what the process takes beside its heap and its
	// stacks: the program itself, and what the system counts for it.
	mappedPart, minMappedBytes = 8, 20 << 20
	// restPart and minRestBytes are the part of the heap that the process needs without
	// callers.
	restPart, minRestBytes = 4, 16 << 20
	// garbageFactor is how much of the heap the memory that is held takes: between two
	// runs of the garbage collector, as much again has been let go of.
	garbageFactor = 2
	// minBudgetBytes is the least budget: one large request.
	minBudgetBytes = 8 << 20
)

// Limits are what a process may use.
type Limits struct {
	// HeapBytes is the soft limit for the runtime of the process.
	HeapBytes int64
	// BudgetBytes is what may be held for callers and servers.
	BudgetBytes int64
}

// LimitsFor derives the limits from the memory that the process has in all. Where that is
// 0, it is taken from the limits of the process.
func LimitsFor(processBytes int64) Limits {
	if processBytes <= 0 {
		processBytes = processLimit("/sys/fs/cgroup", "/proc/meminfo")
	}
	heap := processBytes - max(minMappedBytes, processBytes/mappedPart)
	rest := max(minRestBytes, heap/restPart)
	budget := max(minBudgetBytes, (heap-rest)/garbageFactor)
	return Limits{HeapBytes: max(heap, minRestBytes+garbageFactor*minBudgetBytes), BudgetBytes: budget}
}

// processLimit returns the least of the memory of the machine, of the control group and of
// the process's address space, and the default if none is known.
func processLimit(controlGroup, memoryInfo string) int64 {
	limit := int64(math.MaxInt64)
	for _, name := range []string{"memory.max", "memory/memory.limit_in_bytes"} {
		if text, err := os.ReadFile(filepath.Join(controlGroup, name)); err == nil {
			limit = least(limit, strings.TrimSpace(string(text)), 1)
		}
	}
	if text, err := os.ReadFile(memoryInfo); err == nil {
		for line := range strings.Lines(string(text)) {
			if value, ok := strings.CutPrefix(line, "MemTotal:"); ok {
				limit = least(limit, strings.TrimSuffix(strings.TrimSpace(value), " kB"), 1<<10)
			}
		}
	}
	var addressSpace unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_AS, &addressSpace) == nil && addressSpace.Cur < uint64(limit) {
		limit = int64(addressSpace.Cur)
	}
	// A control group without a limit names a figure near the greatest one.
	if limit > math.MaxInt64/2 {
		return defaultProcessBytes
	}
	return limit
}

// least returns the lower of a limit and of a figure in units, if the text is one.
func least(limit int64, text string, unit int64) int64 {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n > 0 && n <= math.MaxInt64/unit {
		return min(limit, n*unit)
	}
	return limit
}

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// socketsPerCaller is the number of sockets that a caller's connection needs: its own,
	// and one to a server.
	socketsPerCaller = 2
	// minConnections is the least number of connections that are taken.
	minConnections = 16
)

// ConnectionsFor returns how many connections may be open to callers and other hosts, for
// the number of descriptors that the process may open. Where that is 0, it is taken from
// the limits of the process.
func ConnectionsFor(descriptors int) int {
	if descriptors <= 0 {
		var files unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) != nil || files.Cur > unlimitedConnections {
			return unlimitedConnections
		}
		descriptors = int(files.Cur)
	}
	return max(minConnections, (descriptors-fileDescriptors)/socketsPerCaller)
}
