package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/protocol"
)

var failureTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time a number of seconds after failureTime.
func at(seconds int) time.Time { return failureTime.Add(time.Duration(seconds) * time.Second) }

func newTestJob(tasks int) *Job {
	job := &Job{Spec: &protocol.JobSpec{ID: "job-1", Tasks: tasks}}
	job.InitRunState()
	return job
}

// failAt records the failure of an attempt of a task on a machine.
func (j *Job) failAt(task int, machine *Machine, placed, failed int) (implicatesMachine bool) {
	return j.RecordFailure(&Attempt{Job: j, TaskIndex: task, Machine: machine, PlacedAt: at(placed)}, at(failed))
}

// describeExclusions returns the excluded and the last-choice machines of a job as text.
func describeExclusions(job *Job, now time.Time) string {
	excluded, lastChoice := job.MachineExclusions(now)
	names := func(set map[string]bool) string { return strings.Join(slices.Sorted(maps.Keys(set)), " ") }
	return fmt.Sprintf("excluded [%s] last choice [%s]", names(excluded), names(lastChoice))
}

// The exclusion of a machine for a job that failed there ends by itself, after a pause that grows with
// each failed retry to a minute, and a task that is done there makes it a machine like any other.
func TestExclusionsOfMachinesEnd(t *testing.T) {
	job, a, b := newTestJob(4), &Machine{Name: "a"}, &Machine{Name: "b"}
	check := func(second int, want string) {
		t.Helper()
		if got := describeExclusions(job, at(second)); got != want {
			t.Errorf("after %d s: %s, want %s", second, got, want)
		}
	}
	job.failAt(0, a, 0, 1)
	job.failAt(1, a, 0, 2) // placed before the first failure: the same try
	check(21, "excluded [a] last choice []")
	check(22, "excluded [] last choice [a]")
	job.RecordPlacement(a, at(30))
	check(31, "excluded [a] last choice []")
	check(50, "excluded [] last choice [a]")
	job.failAt(0, a, 50, 60)
	check(99, "excluded [a] last choice []")
	check(100, "excluded [] last choice [a]")
	for _, second := range []int{100, 200, 300} {
		job.failAt(2, a, second, second+1)
		check(second+60, "excluded [a] last choice []")
		check(second+61, "excluded [] last choice [a]")
	}
	a.SoundAt = at(300)
	check(370, "excluded [] last choice [a]")
	a.SoundAt = at(302)
	check(370, "excluded [] last choice []")
	job.RecordPlacement(a, at(370))
	check(371, "excluded [] last choice []")
	job.failAt(3, b, 370, 371)
	check(372, "excluded [b] last choice []")
	check(371+601, "excluded [] last choice []")
}

// Other jobs lose work only for the first retry on a machine where the job failed.
func TestPreemptionForRetries(t *testing.T) {
	a, b := &Machine{Name: "a"}, &Machine{Name: "b"}
	check := func(what string, job *Job, second int, want string) {
		t.Helper()
		excluded, lastChoice := job.PreemptionExclusions(at(second))
		names := func(set map[string]bool) string { return strings.Join(slices.Sorted(maps.Keys(set)), " ") }
		if got := fmt.Sprintf("excluded [%s] last choice [%s]", names(excluded), names(lastChoice)); got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	job := newTestJob(4)
	job.failAt(0, a, 0, 1)
	check("first retry", job, 30, "excluded [] last choice [a]")
	job.failAt(0, a, 30, 31)
	check("second retry", job, 100, "excluded [a] last choice []")
	job = newTestJob(4)
	job.failAt(0, a, 0, 1)
	job.failAt(1, b, 0, 1)
	check("job that failed on two machines", job, 30, "excluded [a b] last choice []")
	job.RecordDone(&Attempt{TaskIndex: 2}, at(2))
	check("after a task was done", job, 30, "excluded [] last choice [a b]")
}

// A failure is no evidence against the machine if the job or the task failed elsewhere, too, or if the
// attempt was a retry.
func TestFailuresThatImplicateMachines(t *testing.T) {
	a, b, c := &Machine{Name: "a"}, &Machine{Name: "b"}, &Machine{Name: "c"}
	for name, test := range map[string]struct {
		before func(job *Job)
		want   bool
	}{
		"first failure":                    {func(*Job) {}, true},
		"second try on the same machine":   {func(job *Job) { job.failAt(1, c, 0, 1) }, false},
		"same try on the machine":          {func(job *Job) { job.failAt(1, c, 0, 99) }, true},
		"job failed on one other machine":  {func(job *Job) { job.failAt(1, a, 0, 1) }, true},
		"job failed on two other machines": {func(job *Job) { job.failAt(1, a, 0, 1); job.failAt(2, b, 0, 1) }, false},
		"job failed elsewhere, done since": {func(job *Job) {
			job.failAt(1, a, 0, 1)
			job.failAt(2, b, 0, 1)
			job.RecordDone(&Attempt{TaskIndex: 3}, at(2))
		}, true},
		"task failed twice, other task done": {func(job *Job) {
			job.failAt(0, a, 0, 1)
			job.failAt(0, b, 0, 1)
			job.RecordDone(&Attempt{TaskIndex: 3}, at(2))
		}, false},
		"failures long ago": {func(job *Job) { job.failAt(0, a, -900, -800); job.failAt(0, b, -900, -800) }, true},
	} {
		job := newTestJob(4)
		test.before(job)
		if got := job.failAt(0, c, 50, 100); got != test.want {
			t.Errorf("%s: the failure implicates the machine: %v, want %v", name, got, test.want)
		}
	}
}

// All pauses after failures stay below the time within which a job must start once the cause is gone.
func TestRetryPausesAreBounded(t *testing.T) {
	job := newTestJob(3)
	machines := []*Machine{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for i := range 500 {
		machine := machines[i%3]
		job.RecordPlacement(machine, at(i))
		job.failAt(i%3, machine, i, i+1)
	}
	end := at(500).Add(retryPauseMax)
	for name, failures := range job.FailedMachines {
		if until := job.ExcludedUntil(failures); until.After(end) {
			t.Errorf("%s is excluded for %s after the last failure, want at most %s", name, until.Sub(at(500)), retryPauseMax)
		}
	}
	if job.BackoffUntil.After(end) || job.ReadyTasks(end.Add(time.Second)) == 0 {
		t.Errorf("the job waits for %s after the last failure, %d of its tasks are ready after %s, want at least 1",
			job.BackoffUntil.Sub(at(500)), job.ReadyTasks(end.Add(time.Second)), retryPauseMax)
	}
}

// A task that failed repeatedly waits behind the others, a gang waits as a whole, and a job that failed
// on several machines places one task at a time.
func TestReadyTasks(t *testing.T) {
	a, b := &Machine{Name: "a"}, &Machine{Name: "b"}
	job := newTestJob(4)
	job.failAt(1, a, 0, 1)
	if got := job.ReadyTasks(at(1)); got != 4 {
		t.Errorf("%d tasks ready after one failure, want 4", got)
	}
	job.failAt(1, a, 0, 2)
	if got := job.ReadyTasks(at(2)); got != 3 || !slices.Equal(job.Pending, []int{0, 2, 3, 1}) {
		t.Errorf("%d tasks ready of %v after a task failed twice, want 3 and task 1 last", got, job.Pending)
	}
	job.Spec.Gang = true
	if got := job.ReadyTasks(at(2)); got != 0 {
		t.Errorf("%d tasks of a gang ready while one is held back, want 0", got)
	}
	job.Spec.Gang = false
	job.failAt(2, b, 0, 3)
	if got := job.ReadyTasks(at(10)); got != 1 {
		t.Errorf("%d tasks ready after failures on two machines, want 1", got)
	}
	job.RecordDone(&Attempt{TaskIndex: 3}, at(11))
	if got := job.ReadyTasks(at(12)); got != 4 {
		t.Errorf("%d tasks ready after a task was done, want 4", got)
	}
}

// Only recent failures of different jobs, with no task done in between, make a machine faulty.
func TestFailedJobsOfAMachineAreForgotten(t *testing.T) {
	machine := &Machine{Name: "a", FailedJobs: map[string]time.Time{}}
	for _, step := range []struct {
		job    string
		second int
		want   int
	}{{"job-1", 0, 1}, {"job-1", 100, 1}, {"job-2", 500, 2}, {"job-3", 800, 2}, {"job-4", 1500, 1}} {
		if got := machine.RecordFailedJob(step.job, at(step.second)); got != step.want {
			t.Errorf("%d recently failed jobs after the failure of %s at %d s, want %d", got, step.job, step.second, step.want)
		}
	}
	machine.RecordDone(at(1400))
	if got := machine.RecordFailedJob("job-5", at(1510)); got != 1 || !machine.SoundAt.Equal(at(1400)) {
		t.Errorf("%d recently failed jobs after a task was done, sound at %s, want 1 and %s", got, machine.SoundAt, at(1400))
	}
}
