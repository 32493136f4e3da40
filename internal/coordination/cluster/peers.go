package cluster

import (
	"time"
)

// Age is how long ago a machine was rented. A record may not say it, and clocks
// differ, so that it is at least how long its owner has known it.
func (m *Machine) Age(now time.Time) time.Duration {
	known := now.Sub(m.LedSince)
	if m.Record.RentedMS == 0 {
		return known
	}
	return max(known, time.Duration(now.UnixMilli()-m.Record.RentedMS)*time.Millisecond)
}
