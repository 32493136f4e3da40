package failover

import "time"

// FormerLeader is an incarnation of a controller that may have answered heartbeats of a partition's
// machines. Each process is an incarnation of its own.
type FormerLeader struct {
	// Label identifies the controller, Nonce its incarnation. Both are empty for an unknown leader,
	// which may have held the lease while its record was not watched.
	Label, Nonce string
	// LeaseRevision is the revision of the partition lease under which it may have answered
	// heartbeats.
	LeaseRevision uint64
	// AnswersUntil is the latest time at which it may have answered a heartbeat.
	AnswersUntil time.Time
}

// RecordRelease records that a former leader has released its lease: it lowers the leader's AnswersUntil
// to until, in place. A leader stops answering heartbeats before it releases its lease.
func RecordRelease(all []FormerLeader, label, nonce string, leaseRevision uint64, until time.Time) {
	for i := range all {
		former := &all[i]
		if former.Label == label && former.Nonce == nonce && former.LeaseRevision == leaseRevision && former.AnswersUntil.After(until) {
			former.AnswersUntil = until
		}
	}
}

// AnsweredUntil returns the latest time at which any of the former leaders may have answered a
// heartbeat. ended returns that time for an incarnation that is proven to have ended, or zero if there
// is no such proof.
func AnsweredUntil(all []FormerLeader, ended func(label, nonce string) time.Time) time.Time {
	last := time.Time{}
	for _, former := range all {
		until := former.AnswersUntil
		if end := ended(former.Label, former.Nonce); !end.IsZero() && end.Before(until) {
			until = end
		}
		if until.After(last) {
			last = until
		}
	}
	return last
}
