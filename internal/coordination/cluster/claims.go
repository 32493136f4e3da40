package cluster

import (
	"time"

	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
)

// AnswerBound is for how long a controller goes on answering its workers after the
// last moment up to which it was informed, so that their tasks survive an outage of the
// state service, yet one that is withdrawn elsewhere is gone within cancel_s (12, 42).
func (s *State) AnswerBound() time.Duration {
	return max(0, s.CancelBound-s.AgentLease-2*ClockMargin)
}

// InformedAt is the moment up to which this controller provably knows every withdrawal
// that any user was told of, and held its claims. A renewal alone does not show the
// first: it may come through while the watch brings nothing (42).
func (s *State) InformedAt() time.Time {
	if s.RecordsAsOf.Before(s.LeaseRenewedAt) {
		return s.RecordsAsOf
	}
	return s.LeaseRenewedAt
}

// MayAnswer says whether the controller may answer the workers of a part.
func (s *State) MayAnswer(p *Partition, now time.Time) bool {
	return p.Held && now.Sub(s.InformedAt()) < s.AnswerBound()
}

// Reset forgets what only the machine's owner may believe.
func (m *Machine) Reset() {
	if len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 {
		m.Attempts, m.OrphanedTasks = map[string]*Attempt{}, map[string]protocol.TaskReport{}
	}
	m.Fenced, m.Lost, m.Moving, m.HasReported, m.TokenRaiseBy = false, false, false, false, time.Time{}
	m.RetiringSince, m.ReservedFor, m.ReplicationSeq = time.Time{}, fairshare.NoGroup, 0
	m.RecountUsed()
}
