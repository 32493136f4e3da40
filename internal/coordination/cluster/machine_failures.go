package cluster

import "time"

// MachineFailures are the failures of one job's attempts on one machine.
type MachineFailures struct {
	// Count is the number of failures. The first was reported at FirstAt, the last at LastAt.
	Count           int
	FirstAt, LastAt time.Time
}

// RecordFailure records the failure of an attempt of the job on a machine.
func (j *Job) RecordFailure(machine *Machine, now time.Time) {
	j.Failures++
	failures := j.FailedMachines[machine.Name]
	if failures == nil {
		if j.FailedMachines == nil {
			j.FailedMachines = map[string]*MachineFailures{}
		}
		failures = &MachineFailures{FirstAt: now}
		j.FailedMachines[machine.Name] = failures
	}
	failures.Count++
	failures.LastAt = now
}

// ExcludedMachines returns the names of the machines on which no task of the job may start; nil if
// there are none.
func (j *Job) ExcludedMachines() map[string]bool {
	if len(j.FailedMachines) == 0 {
		return nil
	}
	excluded := make(map[string]bool, len(j.FailedMachines))
	for name := range j.FailedMachines {
		excluded[name] = true
	}
	return excluded
}
