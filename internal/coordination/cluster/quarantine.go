package cluster

import (
	"maps"
	"time"
)

const (
	// SlowTasksLimit is the number of consecutive slow tasks after which a machine is
	// quarantined.
	SlowTasksLimit = 2
	// slowQuarantineTime is the time after which a slow machine that is still in use gets new
	// work again if that fits nowhere else.
	slowQuarantineTime = time.Minute
)

// Quarantine keeps new work off the machine. It is returned to the cloud once it is idle.
func (m *Machine) Quarantine(now time.Time) {
	if !m.Quarantined {
		m.Quarantined, m.QuarantinedAt = true, now
	}
}

// RecordFailedJob records that a job failed on the machine, and returns the number of different jobs
// that did recently, without a task done in between.
func (m *Machine) RecordFailedJob(id string, now time.Time) int {
	maps.DeleteFunc(m.FailedJobs, func(_ string, at time.Time) bool { return now.Sub(at) > failureMemory })
	m.FailedJobs[id] = now
	return len(m.FailedJobs)
}

// RecordDone records that a task that was placed at a given time is done on the machine, so that the
// machine is not faulty.
func (m *Machine) RecordDone(placedAt time.Time) {
	clear(m.FailedJobs)
	if placedAt.After(m.SoundAt) {
		m.SoundAt = placedAt
	}
}

// QuarantinedAsFaulty reports whether the machine is quarantined because different jobs failed on it.
// Its attempts are stopped, so that it becomes idle, and it gets no new work until it is returned.
func (m *Machine) QuarantinedAsFaulty() bool { return m.Quarantined && m.SlowTasks < SlowTasksLimit }

// QuarantinedAsSlow reports whether the machine is quarantined because tasks take too long on it. They
// may run to their end, so the machine may stay in use for any time.
func (m *Machine) QuarantinedAsSlow() bool { return m.Quarantined && m.SlowTasks >= SlowTasksLimit }

// IsLastChoice reports whether the machine gets new work only if that fits nowhere else: a slow
// machine that is still in use some time after its quarantine (rule 57).
func (m *Machine) IsLastChoice(now time.Time) bool {
	return m.QuarantinedAsSlow() && now.Sub(m.QuarantinedAt) >= slowQuarantineTime
}
