package failover

import "time"

// FormerLeader is an incarnation of a controller that may have answered agents of a partition.
type FormerLeader struct {
	// Label names the controller, Nonce the run of its process. Both are empty for leaders that
	// may have been missed.
	Label, Nonce string
	// LeaseRevision is the revision of the partition lease under which it may have answered.
	LeaseRevision uint64
	// AnswersUntil is the latest time at which it may have answered.
	AnswersUntil time.Time
}

// RecordRelease lowers, in place, AnswersUntil of a former leader whose record says that it stopped
// answering before it released the lease.
func RecordRelease(all []FormerLeader, label, nonce string, leaseRevision uint64, until time.Time) {
	for i := range all {
		former := &all[i]
		if former.Label == label && former.Nonce == nonce && former.LeaseRevision == leaseRevision && former.AnswersUntil.After(until) {
			former.AnswersUntil = until
		}
	}
}

// AnsweredUntil returns the latest time at which any of the former leaders may have answered. ended
// returns the time at which the record of a newer incarnation proved an incarnation to be over, or
// zero if none has.
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
