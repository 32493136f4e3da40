package failover

import "time"

// FormerLeader is an incarnation of a controller that may have answered agents of a partition; a
// process begins and ends with its nonce.
type FormerLeader struct {
	Label, Nonce string
	// LeaseRevision is the revision of the lease under which it did.
	LeaseRevision uint64
	// AnswersUntil is the latest moment at which it did, if nothing more is known of it.
	AnswersUntil time.Time
}

// NoteReleased shortens, in place, the bound of a former leader that has recorded that it had
// stopped before it released a lease: it may have answered until then at most.
func NoteReleased(all []FormerLeader, label, nonce string, leaseRevision uint64, until time.Time) {
	for i := range all {
		former := &all[i]
		if former.Label == label && former.Nonce == nonce && former.LeaseRevision == leaseRevision && former.AnswersUntil.After(until) {
			former.AnswersUntil = until
		}
	}
}

// AnsweredUntil is the latest moment at which any of them may have answered. ended tells when an
// incarnation was proven to be over, by the record of a later one of the same label; zero: it was
// not.
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
