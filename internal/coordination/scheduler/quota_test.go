package scheduler

import (
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

// A team's limit is reserved only for tasks that may start now: not on machines where the job failed,
// nor while the job is held back.
func TestQuotaIsNotReservedForTasksThatFailuresHoldBack(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	size := binpack.Resources{CPUs: 8, MemGB: 32}
	for name, test := range map[string]struct {
		change func(job *cluster.Job, first *cluster.Machine)
		want   int
	}{
		"no failure": {func(*cluster.Job, *cluster.Machine) {}, 4},
		"job failed on the first machine": {func(job *cluster.Job, first *cluster.Machine) {
			job.RecordFailure(&cluster.Attempt{Job: job, Machine: first}, now)
		}, 2},
		"first machine is the last choice": {func(job *cluster.Job, first *cluster.Machine) {
			job.RecordFailure(&cluster.Attempt{Job: job, Machine: first}, now.Add(-time.Minute))
		}, 2},
		"job is held back": {func(job *cluster.Job, _ *cluster.Machine) { job.BackoffUntil = now.Add(time.Second) }, 0},
	} {
		machines := []*cluster.Machine{{Name: "m-1"}, {Name: "m-2"}}
		free := map[*cluster.Machine]binpack.Resources{machines[0]: size, machines[1]: size}
		job := &cluster.Job{Spec: &protocol.JobSpec{ID: "job-1", Tasks: 9, CPUs: 4, MemGB: 4}}
		job.InitRunState()
		test.change(job, machines[0])
		if got := allocateSlots(job, machines, free, now); got != test.want {
			t.Errorf("%s: quota wanted for %d tasks, want %d", name, got, test.want)
		}
	}
}
