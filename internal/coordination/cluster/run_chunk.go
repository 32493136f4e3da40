package cluster

import (
	"time"

	"micaspindle/internal/storage"
)

// RunChunk is one run record of a job: the state of storage.ChunkTasks of its tasks.
type RunChunk struct {
	Index int
	// Revision is the record's in the state store; 0: there is none.
	Revision uint64
	// LastNumber is the highest attempt number ever given in the chunk (rule 52).
	LastNumber uint64
	// Dirty: it differs from its record, since DirtySince.
	Dirty      bool
	DirtySince time.Time
	// Urgent: starts wait for the record, so it is written at once.
	Urgent bool
	// Oversized: it exceeds the state store's size limit until tasks end.
	Oversized bool
	// Unconfirmed: a commit went unanswered, so the key is read before it is written again.
	Unconfirmed bool
	// Generation counts changes: a commit compares it to see what it has missed.
	Generation uint64
	// Exited are attempts whose end the record does not show yet.
	Exited []*Attempt
}

// Chunk is the run record that a task belongs to, made if there is none.
func (j *Job) Chunk(task int) *RunChunk {
	i := task / storage.ChunkTasks
	chunk := j.Chunks[i]
	if chunk == nil {
		chunk = &RunChunk{Index: i}
		j.Chunks[i] = chunk
	}
	return chunk
}

// MarkDirty notes that a task's run record is to be written, at once if urgent.
func (j *Job) MarkDirty(task int, urgent bool, now time.Time) {
	j.MayHaveDirtyChunk = true
	chunk := j.Chunk(task)
	if !chunk.Dirty {
		chunk.Dirty, chunk.DirtySince = true, now
	}
	chunk.Generation++
	chunk.Urgent = chunk.Urgent || urgent
}

// HasDirtyChunk says whether a run record of the job waits to be written.
func (j *Job) HasDirtyChunk() bool {
	for _, chunk := range j.Chunks {
		if chunk.Dirty {
			return true
		}
	}
	return false
}

// RunRecord is the chunk as it should stand in the state store.
func (j *Job) RunRecord(chunk *RunChunk) storage.RunRecord {
	run := storage.RunRecord{Last: chunk.LastNumber, Done: [][2]int{}, Live: []storage.Attempt{}}
	first := chunk.Index * storage.ChunkTasks
	end := min(first+storage.ChunkTasks, j.Spec.Tasks)
	for task := first; task < end; task++ {
		if j.TaskDone[task] {
			if n := len(run.Done); n > 0 && run.Done[n-1][1] == task-1 {
				run.Done[n-1][1] = task
			} else {
				run.Done = append(run.Done, [2]int{task, task})
			}
		}
		if a := j.LiveAttempts[task]; a != nil && a.Live() {
			run.Live = append(run.Live, storage.Attempt{Task: task, Number: a.Number, Machine: a.Machine.Name, Epoch: a.Epoch})
		}
	}
	return run
}
