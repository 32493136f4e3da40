package cluster

import "time"

const (
	// ClockMargin is added to every bound that must hold on another machine's clock.
	ClockMargin = time.Second
	// ClockDriftFactor is the factor by which the rates of two monotonic clocks may differ, with
	// room to spare.
	ClockDriftFactor = 1.001
)

// MonotonicTime is the moment on the monotonic clock at which a wall clock showed ms
// (milliseconds since the epoch), at the latest now: wall clocks differ.
func MonotonicTime(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, now.UnixMilli()-ms)) * time.Millisecond)
}
