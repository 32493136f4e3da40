package lease

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/storage"
)

// LastAnswerBound is the latest moment at which anybody but this controller may have answered a
// machine of a partition.
func (h *Holder) LastAnswerBound(p *cluster.Partition, m *cluster.Machine) time.Time {
	until := failover.AnsweredUntil(p.FormerLeaders, func(label, nonce string) time.Time {
		return h.EndedIncarnations[IncarnationID{Label: label, Nonce: nonce}]
	})
	if m.FormerLeaderAnswersUntil.After(until) {
		until = m.FormerLeaderAnswersUntil
	}
	return until
}

// shortenAllBounds shortens the bounds of all partitions that are ready here.
func (h *Holder) shortenAllBounds(now time.Time) {
	for _, p := range h.Partitions {
		if p.Held && p.Ready {
			h.shortenBounds(p, now)
		}
	}
}

// shortenBounds counts the machine leases of silent machines from what is proven by now.
func (h *Holder) shortenBounds(p *cluster.Partition, now time.Time) {
	for _, m := range h.Machines {
		if m.Record.Partition != p.Index || !m.AnsweredUntil.After(now) {
			continue
		}
		if until := h.LastAnswerBound(p, m); until.Before(m.AnsweredUntil) {
			m.AnsweredUntil = until
			if m.LastHeartbeatAt.After(until) && m.HasReported {
				m.AnsweredUntil = m.LastHeartbeatAt
			}
		}
	}
}

// noteFormerLeader notes that a partition's leader does not lead it any more: it may go on
// answering agents for as long after its last renewal as rule 12 lets it.
func (h *Holder) noteFormerLeader(p *cluster.Partition, now time.Time) {
	former := failover.FormerLeader{Label: p.Leader, Nonce: p.LeaderNonce, LeaseRevision: p.LeaseRevision, AnswersUntil: now.Add(h.AnswerBound())}
	if former.Label == h.Settings.Label && former.Nonce == h.Nonce {
		former.AnswersUntil = lastOwnAnswer(p, now)
	}
	released := storage.ReleasedLease{Partition: p.Index, LeaseRevision: former.LeaseRevision}
	if record := h.incarnations[former.Label]; record.Nonce == former.Nonce && slices.Contains(record.Released, released) {
		former.AnswersUntil = now.Add(delegation.GrantDuration)
	}
	p.FormerLeaders = append(stillAnswering(p.FormerLeaders, now), former)
}

// lastOwnAnswer is until when a partition that this controller led may be answered on its
// behalf: it stopped when it lost the lease, its delegates when their grants end.
func lastOwnAnswer(p *cluster.Partition, now time.Time) time.Time {
	last := now
	for _, end := range []time.Time{p.DelegatedUntil, p.Delegations.LatestGrantEnd()} {
		if end.After(last) {
			last = end
		}
	}
	return last
}

// NoteMissedLeaders notes that leaders may have come and gone unseen before a listing.
func (h *Holder) NoteMissedLeaders(now time.Time) {
	for _, p := range h.Partitions {
		p.FormerLeaders = slices.DeleteFunc(stillAnswering(p.FormerLeaders, now), func(former failover.FormerLeader) bool { return former.Label == "" })
		p.FormerLeaders = append(p.FormerLeaders, failover.FormerLeader{AnswersUntil: now.Add(h.AnswerBound())})
	}
}

// stillAnswering drops, in place, the former leaders that answer nobody any more: their records
// can prove nothing further.
func stillAnswering(all []failover.FormerLeader, now time.Time) []failover.FormerLeader {
	answering := all[:0]
	for _, former := range all {
		if former.AnswersUntil.After(now) {
			answering = append(answering, former)
		}
	}
	return answering
}
