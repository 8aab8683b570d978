// Package clock relates the monotonic time of the decision cores, counted from
// the start of the process, to the wall clock.
package clock

import "time"

// Clock tells the time since a process started.
type Clock struct {
	start time.Time
}

// Start returns a clock that begins at zero now.
func Start() Clock {
	return Clock{start: time.Now()}
}

// Now is the monotonic time since the start.
func (c Clock) Now() time.Duration {
	return time.Since(c.start)
}

// ToWall is the wall-clock time of a moment of this clock.
func (c Clock) ToWall(at time.Duration) time.Time {
	return c.start.Add(at)
}

// FromWall converts a wall-clock time to this clock.
func (c Clock) FromWall(wall time.Time) time.Duration {
	return wall.Sub(c.start)
}
