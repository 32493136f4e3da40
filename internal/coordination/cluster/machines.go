package cluster

import (
	"time"
)

// Token identifies who may command a machine: both revisions come from the
// state service's one counter, so a takeover and a move each raise it.
func (s *State) Token(m *Machine) uint64 {
	return max(s.Partitions[m.Record.Partition].LeaseRevision, m.Revision)
}

// Usable says whether new work may go to a machine.
func (s *State) Usable(m *Machine, now time.Time) bool {
	return m.Fenced && !m.Lost && !m.Moving && !m.Quarantined && m.Type != nil && m.Record.Addr != "" &&
		m.RetiringSince.IsZero() && m.PreemptionAt.IsZero() && now.After(m.AvoidUntil) &&
		now.Sub(m.LastHeardAt) < s.HeartbeatInterval*5/4+1500*time.Millisecond
}
