package failover

import "time"

// TakeoverCheck holds what a new leader must know before its first decision on a partition.
type TakeoverCheck struct {
	// LeaseRevision is the revision of its partition lease, NewestLease that of the newest lease
	// seen for the partition.
	LeaseRevision, NewestLease uint64
	// SinceRenewal is the time since the last certain renewal of its controller lease, TTL the
	// time to live of that lease.
	SinceRenewal, TTL time.Duration
	// RunRecords and MachineRecords are the revisions up to which the partition's records are
	// known from reads that began after the lease was acquired; FinalStates is the revision up to
	// which the final states of jobs are known.
	RunRecords, MachineRecords, FinalStates uint64
	// QuotasCounted is true if the use of quotas was counted from all live attempts.
	QuotasCounted bool
}

// Missing returns what is not known yet; if that is nothing, the leader may decide. What may change
// before a decision is written is also a condition of that write (docs/design.md, rules 32 to 36).
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
