package replication

import (
	"maps"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// PendingStartsLimit is the maximum number of start times kept for attempts whose run records
	// have not arrived: recently committed ones, or all 64,000 attempts of 4,000 machines while the
	// replica is first read. An entry takes about 130 bytes, all entries 10 MB.
	PendingStartsLimit = 80_000
	// pendingStartAge is the time since its start after which an attempt is dropped from the
	// pending starts.
	pendingStartAge = time.Minute
)

// AttemptID identifies an attempt of a task.
type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

// DerivedState is the in-memory state that is derived from a partition's run records before a
// takeover: the attempts by job and by machine, not yet linked to the jobs and machines.
type DerivedState struct {
	Jobs map[string]*ReplicaJob
	// AttemptsByMachine maps machine names to maps keyed like cluster.Machine.Attempts.
	AttemptsByMachine map[string]map[string]*cluster.Attempt
	// PendingStarts holds the start times of attempts whose run records have not arrived yet.
	PendingStarts map[AttemptID]time.Time
	// DroppedStarts counts the start times dropped at PendingStartsLimit since the last report.
	DroppedStarts int
}

func newDerivedState() DerivedState {
	return DerivedState{Jobs: map[string]*ReplicaJob{}, AttemptsByMachine: map[string]map[string]*cluster.Attempt{}, PendingStarts: map[AttemptID]time.Time{}}
}

// apply updates the state for a changed or deleted run record. The record's key must be valid.
func (s *DerivedState) apply(change runRecordChange) {
	id, index, _ := storage.ParseRunKey(change.Key)
	job := s.Jobs[id]
	if job == nil {
		job = &ReplicaJob{Records: map[int]*storage.RunRecord{}, chunks: map[int]*cluster.RunChunk{}, Live: map[int]*cluster.Attempt{}}
		s.Jobs[id] = job
	}
	before := s.removeAttempts(id, job, job.Records[index])
	if change.Deleted {
		delete(job.Records, index)
		if delete(job.chunks, index); len(job.chunks) == 0 {
			delete(s.Jobs, id)
		}
		return
	}
	job.Records[index] = change.Value
	job.chunks[index] = &cluster.RunChunk{Index: index, Revision: change.Version, LastNumber: change.Value.Last}
	for _, recorded := range change.Value.Live {
		s.addAttempt(id, job, recorded, before[recorded.Task])
	}
}

// removeAttempts removes the live attempts of a run record and returns them by task.
func (s *DerivedState) removeAttempts(id string, job *ReplicaJob, record *storage.RunRecord) map[int]*cluster.Attempt {
	if record == nil {
		return nil
	}
	removed := make(map[int]*cluster.Attempt, len(record.Live))
	for _, recorded := range record.Live {
		delete(s.AttemptsByMachine[recorded.Machine], cluster.AttemptKey(protocol.TaskName(id, recorded.Task), recorded.Number))
		if len(s.AttemptsByMachine[recorded.Machine]) == 0 {
			delete(s.AttemptsByMachine, recorded.Machine)
		}
		removed[recorded.Task] = job.Live[recorded.Task]
		delete(job.Live, recorded.Task)
	}
	return removed
}

// addAttempt adds a live attempt of a run record. previous is the task's attempt before the change, or
// nil; if it has the same number, its start time is kept.
func (s *DerivedState) addAttempt(id string, job *ReplicaJob, recorded storage.Attempt, previous *cluster.Attempt) {
	a := &cluster.Attempt{TaskIndex: recorded.Task, Number: recorded.Number, Epoch: recorded.Epoch, State: cluster.AttemptCommitted, Inherited: true}
	key := AttemptID{Job: id, Task: recorded.Task, Number: recorded.Number}
	if previous != nil && previous.Number == recorded.Number {
		a.ReplicatedStart = previous.ReplicatedStart
	} else if at, ok := s.PendingStarts[key]; ok {
		a.ReplicatedStart = at
		delete(s.PendingStarts, key)
	}
	job.Live[recorded.Task] = a
	attempts := s.AttemptsByMachine[recorded.Machine]
	if attempts == nil {
		attempts = map[string]*cluster.Attempt{}
		s.AttemptsByMachine[recorded.Machine] = attempts
	}
	attempts[cluster.AttemptKey(protocol.TaskName(id, recorded.Task), recorded.Number)] = a
}

// StoreStart stores an attempt's start time, as received from the partition's leader.
func (s *DerivedState) StoreStart(key AttemptID, at time.Time) {
	if job := s.Jobs[key.Job]; job != nil {
		if a := job.Live[key.Task]; a != nil && a.Number >= key.Number {
			if a.Number == key.Number {
				a.ReplicatedStart = at
			}
			return
		}
	}
	if _, known := s.PendingStarts[key]; !known && len(s.PendingStarts) >= PendingStartsLimit {
		s.DroppedStarts++
		return
	}
	s.PendingStarts[key] = at
}

// pruneStarts drops old start times of attempts whose run records have not arrived.
func (s *DerivedState) pruneStarts(now time.Time) {
	maps.DeleteFunc(s.PendingStarts, func(_ AttemptID, at time.Time) bool { return now.Sub(at) > pendingStartAge })
}

// CountKnownStarts returns the number of live attempts whose start time is known.
func (s *DerivedState) CountKnownStarts() (count int) {
	for _, job := range s.Jobs {
		for _, a := range job.Live {
			if !a.ReplicatedStart.IsZero() {
				count++
			}
		}
	}
	return count
}

// UnknownJobs returns the ids of jobs that have run records but are neither in known nor in read:
// finished jobs with attempts that may still run, and jobs whose job records have not arrived.
func (s *DerivedState) UnknownJobs(known map[string]*cluster.Job, read map[string]*protocol.Item) (ids []string) {
	for id := range s.Jobs {
		if known[id] == nil && read[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
