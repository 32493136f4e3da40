package failover

import "time"

// BoundReason is the reason for an answer bound.
type BoundReason string

// The reasons for answer bounds, as logged.
const (
	// BoundByLeaseEnd: the controller's lease ended or was replaced; its answer bound applies.
	BoundByLeaseEnd BoundReason = "its lease ended"
	// BoundByRelease: the controller released the lease, so that only its delegates may answer.
	BoundByRelease BoundReason = "it released the lease"
	// BoundByProcessEnd: the process ended, so that only its delegates may answer.
	BoundByProcessEnd BoundReason = "its process ended"
	// BoundByUnwatchedRecords: another controller may have held the lease while the records were
	// not watched.
	BoundByUnwatchedRecords BoundReason = "the records were not watched"
	// BoundByOwnGrants: this controller lost the lease; its delegates may answer.
	BoundByOwnGrants BoundReason = "own delegates' grants"
	// BoundByNewToken: the agent has received the present leader's token, so that it discards the
	// answers of former leaders.
	BoundByNewToken BoundReason = "the agent has the new token"
	// BoundByMove: the leader of the machine's former partition may not know of the move yet.
	BoundByMove BoundReason = "the machine was moved"
)

// AnswerBound is the latest time at which a controller, or one of its delegates, may answer a heartbeat.
type AnswerBound struct {
	Until time.Time
	// Controller is the controller's label, or "" if it is not known.
	Controller string
	Reason     BoundReason
}

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
	// Reason is the reason for AnswersUntil.
	Reason BoundReason
}

// RecordRelease records that a former leader has released its lease: it lowers the leader's AnswersUntil
// to until, in place. A leader stops answering heartbeats before it releases its lease.
func RecordRelease(all []FormerLeader, label, nonce string, leaseRevision uint64, until time.Time) {
	for i := range all {
		former := &all[i]
		if former.Label == label && former.Nonce == nonce && former.LeaseRevision == leaseRevision && former.AnswersUntil.After(until) {
			former.AnswersUntil, former.Reason = until, BoundByRelease
		}
	}
}

// Bounds returns the answer bound of each former leader. ended returns the latest time at which an
// incarnation that is proven to have ended may have answered a heartbeat, or zero if there is no such
// proof.
func Bounds(all []FormerLeader, ended func(label, nonce string) time.Time) []AnswerBound {
	bounds := make([]AnswerBound, 0, len(all))
	for _, former := range all {
		bound := AnswerBound{Until: former.AnswersUntil, Controller: former.Label, Reason: former.Reason}
		if end := ended(former.Label, former.Nonce); !end.IsZero() && end.Before(bound.Until) {
			bound.Until, bound.Reason = end, BoundByProcessEnd
		}
		bounds = append(bounds, bound)
	}
	return bounds
}

// Latest returns the latest of some bounds, or the zero bound if there are none.
func Latest(bounds ...AnswerBound) (latest AnswerBound) {
	for _, bound := range bounds {
		if bound.Until.After(latest.Until) {
			latest = bound
		}
	}
	return latest
}
