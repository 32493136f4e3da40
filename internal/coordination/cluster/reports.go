package cluster

import (
	"micaspindle/internal/protocol"
)

// AcceptHeartbeat takes in that a report came as one, and says whether it did for the first time.
// A worker has one under way at a time, so that nobody waits any more for an answer to one
// that comes after a newer one, or twice: it can keep no lease alive (48).
func (m *Machine) AcceptHeartbeat(r *protocol.Heartbeat) bool {
	if r.Epoch < m.NewestReceived.Epoch || r.Epoch == m.NewestReceived.Epoch && r.Sequence <= m.NewestReceived.Sequence {
		return false
	}
	m.NewestReceived.Epoch, m.NewestReceived.Sequence = r.Epoch, r.Sequence
	return true
}

// IsNewer says whether a report is newer than all that came before.
func (m *Machine) IsNewer(r *protocol.Heartbeat) bool {
	return r.Epoch > m.Epoch || r.Epoch == m.Epoch && r.Sequence > m.Sequence
}

// HasAttemptBefore says whether a session has ended the session of some attempt.
func (m *Machine) HasAttemptBefore(session uint64) bool {
	for _, a := range m.Attempts {
		if a.Epoch < session {
			return true
		}
	}
	return false
}
