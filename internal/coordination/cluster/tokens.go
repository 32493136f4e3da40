package cluster

import (
	"time"
)

// RaiseTokenBy wants a higher token for the machine by a moment, at the latest.
func (m *Machine) RaiseTokenBy(by time.Time) {
	if m.TokenRaiseBy.IsZero() || by.Before(m.TokenRaiseBy) {
		m.TokenRaiseBy = by
	}
}

// HasCancelledTask says whether a task of a cancelled job is or may come to be on the machine,
// so that commands to it are repeated without waiting for the answers to earlier ones.
func (m *Machine) HasCancelledTask() bool {
	for _, a := range m.Attempts {
		if a.Live() && a.Stopping && a.Job.Ended {
			return true
		}
	}
	return false
}
