package lease

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/storage"
)

// LastAnswerBound returns the latest time at which a former leader of a machine, or a delegate of a
// former leader, may have answered the machine's heartbeats. p is the machine's partition.
func (h *Holder) LastAnswerBound(p *cluster.Partition, m *cluster.Machine) failover.AnswerBound {
	return failover.Latest(append(h.FormerLeaderBounds(p), m.MoveBound)...)
}

// FormerLeaderBounds returns the present answer bounds of a partition's former leaders.
func (h *Holder) FormerLeaderBounds(p *cluster.Partition) []failover.AnswerBound {
	return failover.Bounds(p.FormerLeaders, func(label, nonce string) time.Time {
		return h.EndedIncarnations[IncarnationID{Label: label, Nonce: nonce}]
	})
}

// shortenAllBounds calls shortenBounds for all ready partitions that this controller leads.
func (h *Holder) shortenAllBounds(now time.Time) {
	for _, p := range h.Partitions {
		if p.Held && p.Ready {
			h.shortenBounds(p, now)
		}
	}
}

// shortenBounds lowers the bounds on former leaders' answers to a partition's machines to the present
// LastAnswerBound, which is earlier once records prove that former leaders have stopped answering. The
// leases of silent machines then expire sooner.
func (h *Holder) shortenBounds(p *cluster.Partition, now time.Time) {
	shortened, latest := 0, failover.AnswerBound{}
	for _, m := range h.Machines {
		if m.Record.Partition != p.Index || !m.Answers.Others().Until.After(now) {
			continue
		}
		if bound := h.LastAnswerBound(p, m); m.Answers.OthersStopped(bound) {
			shortened++
			latest = failover.Latest(latest, bound)
		}
	}
	if shortened > 0 {
		h.log.Info("former leaders stop answering earlier", "partition", p.Index, "count", shortened,
			"controller", latest.Controller, "after", latest.Until.Sub(now), "reason", latest.Reason)
	}
}

// addFormerLeader adds the holder of a partition's lease to the partition's former leaders when the
// lease ends or gets another holder. The former leader may answer heartbeats until its answer bound
// (rule 12).
func (h *Holder) addFormerLeader(p *cluster.Partition, now time.Time) {
	former := failover.FormerLeader{Label: p.Leader, Nonce: p.LeaderNonce, LeaseRevision: p.LeaseRevision, AnswersUntil: now.Add(h.AnswerBound()), Reason: failover.BoundByLeaseEnd}
	if former.Label == h.Settings.Label && former.Nonce == h.Nonce {
		former.AnswersUntil, former.Reason = lastOwnAnswer(p, now), failover.BoundByOwnGrants
	}
	released := storage.ReleasedLease{Partition: p.Index, LeaseRevision: former.LeaseRevision}
	if record := h.incarnations[former.Label]; record.Nonce == former.Nonce && slices.Contains(record.Released, released) {
		former.AnswersUntil, former.Reason = now.Add(delegation.GrantDuration), failover.BoundByRelease
	}
	p.FormerLeaders = append(h.dropPastLeaders(p.FormerLeaders, now), former)
}

// lastOwnAnswer returns the latest time at which this controller or one of its delegates may answer
// heartbeats of a partition that it led. The controller itself stopped when it lost the lease; its
// delegates stop when their grants end.
func lastOwnAnswer(p *cluster.Partition, now time.Time) time.Time {
	last := now
	for _, end := range []time.Time{p.DelegatedUntil, p.Delegations.LatestGrantEnd()} {
		if end.After(last) {
			last = end
		}
	}
	return last
}

// AddUnknownLeaders adds an unknown former leader to each partition before a listing is applied:
// another controller may have acquired and lost the lease while this one was not watching.
func (h *Holder) AddUnknownLeaders(now time.Time) {
	for _, p := range h.Partitions {
		p.FormerLeaders = slices.DeleteFunc(h.dropPastLeaders(p.FormerLeaders, now), func(former failover.FormerLeader) bool { return former.Label == "" })
		p.FormerLeaders = append(p.FormerLeaders, failover.FormerLeader{AnswersUntil: now.Add(h.AnswerBound()), Reason: failover.BoundByUnwatchedRecords})
	}
}

// dropPastLeaders removes, in place, the former leaders whose last answer is so long ago that no machine
// lease that it extended is still valid. A leader that has only stopped answering is kept, since the
// proof of another leader's end may give that one an earlier bound.
func (h *Holder) dropPastLeaders(all []failover.FormerLeader, now time.Time) []failover.FormerLeader {
	return slices.DeleteFunc(all, func(former failover.FormerLeader) bool {
		return now.Sub(former.AnswersUntil) > h.AgentLeaseBound()
	})
}
