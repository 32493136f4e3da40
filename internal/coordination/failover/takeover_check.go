package failover

import "time"

// TakeoverCheck is what a new leader must know before its first decision on a partition.
type TakeoverCheck struct {
	// LeaseRevision is the revision of its lease, NewestLease that of the newest one seen.
	LeaseRevision, NewestLease uint64
	// SinceRenewal is how long ago its controller lease was certainly renewed, TTL how long that
	// holds.
	SinceRenewal, TTL time.Duration
	// RunRecords and MachineRecords are the revisions up to which the partition's records were
	// read, by answers asked for after the lease was acquired; FinalStates that up to which final
	// states of jobs were followed.
	RunRecords, MachineRecords, FinalStates uint64
	// Counted: quotas are counted from all live attempts.
	Counted bool
}

// Missing says what is not known yet; nothing: the leader may decide. What may change between this
// and a decision's write is a condition of the write as well (docs/design.md, rules 32 to 36).
func (c TakeoverCheck) Missing() []string {
	var missing []string
	require := func(known bool, what string) {
		if !known {
			missing = append(missing, what)
		}
	}
	require(c.LeaseRevision != 0 && c.LeaseRevision == c.NewestLease, "the newest lease")
	require(c.SinceRenewal < c.TTL, "a fresh lease")
	require(c.RunRecords >= c.LeaseRevision, "run records up to the lease revision")
	require(c.MachineRecords >= c.LeaseRevision, "machine records up to the lease revision")
	require(c.FinalStates >= c.LeaseRevision, "final states of jobs up to the lease revision")
	require(c.Counted, "quotas from all live attempts")
	return missing
}
