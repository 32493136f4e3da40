package replication

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// ReplicaJob is the state derived from the run records of one job.
type ReplicaJob struct {
	// Records holds the run records by chunk index, chunks the revision and the last attempt number
	// of each.
	Records map[int]*storage.RunRecord
	chunks  map[int]*cluster.RunChunk
	// Live holds the live attempts by task index.
	Live map[int]*cluster.Attempt
}

// AttachTo sets the job's run state to the recorded one, for the partition's new leader, and returns
// the number of live attempts. The job owns the state from then on.
func (j *ReplicaJob) AttachTo(job *cluster.Job, now time.Time) (live int) {
	job.HasRunState, job.RunningCount, job.Completing, job.RunTimesS = true, 0, false, nil
	job.ClearFailures()
	job.LiveAttempts, job.Chunks, job.Pending = j.Live, j.chunks, nil
	j.setDoneTasks(job)
	j.attachAttempts(job, now)
	return len(job.LiveAttempts)
}

// setDoneTasks marks and counts the job's completed tasks.
func (j *ReplicaJob) setDoneTasks(job *cluster.Job) {
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

// attachAttempts links the live attempts to the job and adds their resources to the usage of their
// machines. Attempts on an unknown machine, or with a task index that the job does not have, are
// dropped, and their run records are marked for rewriting.
func (j *ReplicaJob) attachAttempts(job *cluster.Job, now time.Time) {
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

// DetachAttempts removes the attempts of an unknown job from their machines. Attempts that still run
// are then reported in heartbeats as tasks without a recorded attempt.
func (j *ReplicaJob) DetachAttempts(id string) {
	for task, a := range j.Live {
		if a.Machine != nil {
			delete(a.Machine.Attempts, cluster.AttemptKey(protocol.TaskName(id, task), a.Number))
		}
	}
}
