package cluster

import "time"

const (
	// ClockMargin is the safety margin of a time bound that must also hold on another
	// machine's clock.
	ClockMargin = time.Second
	// ClockDriftFactor is an upper bound on the ratio of the rates of two monotonic clocks.
	ClockDriftFactor = 1.001
)

// MonotonicTime converts a wall-clock time, in milliseconds since the Unix epoch, to the
// monotonic clock. Wall clocks differ, so a time in the future is replaced by now.
func MonotonicTime(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, now.UnixMilli()-ms)) * time.Millisecond)
}
