package replication

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// ReplicaJob is what the run records say of one job.
type ReplicaJob struct {
	// Records are the run records by their index, chunks their revisions.
	Records map[int]*storage.RunRecord
	chunks  map[int]*cluster.RunChunk
	// Live are the live attempts by task.
	Live map[int]*cluster.Attempt
}

// Bind makes the records' state that of the job, for the partition's new leader, and returns how
// many attempts are live. The job owns the state from then on.
func (j *ReplicaJob) Bind(job *cluster.Job, now time.Time) (live int) {
	job.HasRunState, job.RunningCount, job.Completing, job.FailedMachines, job.RunTimesS = true, 0, false, nil, nil
	job.LiveAttempts, job.Chunks, job.Pending = j.Live, j.chunks, nil
	j.bindDoneTasks(job)
	j.bindAttempts(job, now)
	return len(job.LiveAttempts)
}

// bindDoneTasks marks the tasks that are done.
func (j *ReplicaJob) bindDoneTasks(job *cluster.Job) {
	job.TaskDone, job.DoneCount = make([]bool, job.Spec.Tasks), 0
	for _, record := range j.Records {
		for _, done := range record.Done {
			for task := max(0, done[0]); task <= done[1] && task < len(job.TaskDone); task++ {
				if !job.TaskDone[task] {
					job.TaskDone[task] = true
					job.DoneCount++
				}
			}
		}
	}
}

// bindAttempts counts the live attempts on their machines. Those without a machine, or of a task
// that the job does not have, are dropped, and their records written anew.
func (j *ReplicaJob) bindAttempts(job *cluster.Job, now time.Time) {
	need := cluster.ResourcesOf(job.Spec)
	for task, a := range job.LiveAttempts {
		a.Job = job
		if a.Machine != nil && task >= 0 && task < job.Spec.Tasks {
			a.Machine.Used = a.Machine.Used.Plus(need, 1)
			continue
		}
		if a.Machine != nil {
			delete(a.Machine.Attempts, cluster.AttemptKey(a.TaskName(), a.Number))
		}
		delete(job.LiveAttempts, task)
		job.MarkDirty(max(0, min(task, job.Spec.Tasks-1)), false, now)
	}
}

// Unbind takes the attempts of an unknown job off their machines, whose heartbeats then show them
// as nobody's.
func (j *ReplicaJob) Unbind(id string) {
	for task, a := range j.Live {
		if a.Machine != nil {
			delete(a.Machine.Attempts, cluster.AttemptKey(protocol.TaskName(id, task), a.Number))
		}
	}
}
