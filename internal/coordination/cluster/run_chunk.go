package cluster

import (
	"time"

	"micaspindle/internal/storage"
)

// RunChunk is the state of storage.ChunkTasks consecutive tasks of a job, which are stored
// in one run record.
type RunChunk struct {
	Index int
	// Revision is the record's revision in the state store, or 0 if there is no record.
	Revision uint64
	// LastNumber is the highest attempt number ever given in the chunk (rule 52).
	LastNumber uint64
	// Dirty is set if the chunk differs from its record; it has differed since DirtySince.
	Dirty      bool
	DirtySince time.Time
	// Urgent is set if start commands wait for the write of the record, so that it is
	// written at once.
	Urgent bool
	// Oversized is set while the record is larger than the state store allows. The
	// record fits again once enough tasks have ended.
	Oversized bool
	// Unconfirmed is set if the last write of the record was not answered. The record
	// is then read back before it is written again.
	Unconfirmed bool
	// Generation counts the changes to the chunk, so that the changes made during a
	// commit are detected.
	Generation uint64
	// Exited are the attempts whose end is not in the record yet.
	Exited []*Attempt
}

// Chunk returns the chunk that a task belongs to, and adds it if there is none.
func (j *Job) Chunk(task int) *RunChunk {
	i := task / storage.ChunkTasks
	chunk := j.Chunks[i]
	if chunk == nil {
		chunk = &RunChunk{Index: i}
		j.Chunks[i] = chunk
	}
	return chunk
}

// MarkDirty marks a task's run record to be written, at once if urgent.
func (j *Job) MarkDirty(task int, urgent bool, now time.Time) {
	j.MayHaveDirtyChunk = true
	chunk := j.Chunk(task)
	if !chunk.Dirty {
		chunk.Dirty, chunk.DirtySince = true, now
	}
	chunk.Generation++
	chunk.Urgent = chunk.Urgent || urgent
}

// HasDirtyChunk reports whether a run record of the job is waiting to be written.
func (j *Job) HasDirtyChunk() bool {
	for _, chunk := range j.Chunks {
		if chunk.Dirty {
			return true
		}
	}
	return false
}

// RunRecord returns the record of a chunk as it should be in the state store.
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
