// Package clock converts between the wall clock and the monotonic time that the
// decision cores use, which is counted from the start of the process.
package clock

import "time"

// Clock measures the time since a process started.
type Clock struct {
	start time.Time
}

// Start returns a clock whose zero is the moment of the call.
func Start() Clock {
	return Clock{start: time.Now()}
}

// Now returns the monotonic time since the start.
func (c Clock) Now() time.Duration {
	return time.Since(c.start)
}

// ToWall converts a time of this clock to the wall-clock time.
func (c Clock) ToWall(sinceStart time.Duration) time.Time {
	return c.start.Add(sinceStart)
}

// FromWall converts a wall-clock time to the time of this clock. It is negative
// for a time before the start.
func (c Clock) FromWall(wall time.Time) time.Duration {
	return wall.Sub(c.start)
}
