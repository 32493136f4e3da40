package failover

import "time"

// TakeoverCheck holds the state by which the preconditions of a new leader's first decision on a
// partition are checked.
type TakeoverCheck struct {
	// LeaseRevision is the revision of the leader's partition lease, NewestLease that of the newest
	// lease received for the partition.
	LeaseRevision, NewestLease uint64
	// SinceRenewal is the time since the last confirmed renewal of the leader's controller lease,
	// TTL the time to live of that lease.
	SinceRenewal, TTL time.Duration
	// RunRecords, MachineRecords and FinalStates are the revisions up to which the leader has
	// applied the partition's run records, the machine records and the final records of jobs.
	RunRecords, MachineRecords, FinalStates uint64
	// QuotasCounted is true if the teams' usage includes all live attempts.
	QuotasCounted bool
}

// Missing lists the preconditions that are not met yet; if the list is empty, the leader may make
// decisions. A precondition that may cease to hold before a decision is written is also a condition of
// that write (docs/design.md, rules 32 to 36).
func (c TakeoverCheck) Missing() []string {
	var missing []string
	require := func(known bool, description string) {
		if !known {
			missing = append(missing, description)
		}
	}
	require(c.LeaseRevision != 0 && c.LeaseRevision == c.NewestLease, "the newest lease")
	require(c.SinceRenewal < c.TTL, "a fresh lease")
	require(c.RunRecords >= c.LeaseRevision, "run records up to the lease revision")
	require(c.MachineRecords >= c.LeaseRevision, "machine records up to the lease revision")
	require(c.FinalStates >= c.LeaseRevision, "final states of jobs up to the lease revision")
	require(c.QuotasCounted, "quotas from all live attempts")
	return missing
}
