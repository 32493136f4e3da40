package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

// HasWork says whether a job wants something of its part's owner.
func (j *Job) HasWork() bool { return len(j.Pending) > 0 || j.Completing || j.RecordsChanged }

// HasDirtyChunk says whether a record of the job waits to be written.
func (j *Job) HasDirtyChunk() bool {
	for _, ch := range j.Chunks {
		if ch.Dirty {
			return true
		}
	}
	return false
}

// QueueOrderTTL is how long an order of jobs is good for.
const QueueOrderTTL = 200 * time.Millisecond

// Due is when a job should be done; one without a deadline queues as if it
// had a long one.
func (j *Job) Due() time.Time {
	if at, ok := j.Deadline(); ok {
		return at
	}
	return j.ReadySince().Add(time.Hour)
}

func ResourcesOf(s *protocol.JobSpec) binpack.Resources {
	return binpack.Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
}

func ConstraintsOf(s *protocol.JobSpec) binpack.Constraints {
	return binpack.Constraints{Types: s.Types, Zone: s.Zone, Spot: s.Spot}
}
