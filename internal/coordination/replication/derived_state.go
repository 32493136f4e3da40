package replication

import (
	"maps"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// PendingStartsLimit is how many attempts' starts may be known before their records have
	// come: those that were committed a moment ago, or all 64,000 of 4,000 machines while the
	// replica is begun. One takes some 130 bytes, all 10 MB.
	PendingStartsLimit = 80_000
	// pendingStartAge is how old an attempt may be whose record has not come.
	pendingStartAge = time.Minute
)

// AttemptID names an attempt.
type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

// DerivedState is the state that a partition's run records derive, made ahead of a takeover:
// attempts by job and by machine, without the jobs and machines themselves.
type DerivedState struct {
	Jobs map[string]*ReplicaJob
	// AttemptsByMachine has the attempts by the machine's name, then as cluster.Machine.Attempts.
	AttemptsByMachine map[string]map[string]*cluster.Attempt
	// Starts is when attempts began whose records have not come yet.
	Starts map[AttemptID]time.Time
	// DroppedStarts is for how many of these there was no space since that was last counted.
	DroppedStarts int
}

func newDerivedState() DerivedState {
	return DerivedState{Jobs: map[string]*ReplicaJob{}, AttemptsByMachine: map[string]map[string]*cluster.Attempt{}, Starts: map[AttemptID]time.Time{}}
}

// apply brings the state in line with a change of a run record, whose key is valid.
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

// removeAttempts takes the live attempts of a record away, and returns them by task.
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

// addAttempt adds a live attempt of a record. before is the task's attempt until now, nil if it had
// none: of the same attempt the start stays known.
func (s *DerivedState) addAttempt(id string, job *ReplicaJob, recorded storage.Attempt, before *cluster.Attempt) {
	a := &cluster.Attempt{TaskIndex: recorded.Task, Number: recorded.Number, Epoch: recorded.Epoch, State: cluster.AttemptCommitted, Inherited: true}
	key := AttemptID{Job: id, Task: recorded.Task, Number: recorded.Number}
	if before != nil && before.Number == recorded.Number {
		a.ReplicatedStart = before.ReplicatedStart
	} else if at, ok := s.Starts[key]; ok {
		a.ReplicatedStart = at
		delete(s.Starts, key)
	}
	job.Live[recorded.Task] = a
	attempts := s.AttemptsByMachine[recorded.Machine]
	if attempts == nil {
		attempts = map[string]*cluster.Attempt{}
		s.AttemptsByMachine[recorded.Machine] = attempts
	}
	attempts[cluster.AttemptKey(protocol.TaskName(id, recorded.Task), recorded.Number)] = a
}

// NoteStart notes when an attempt began, as its leader's update says.
func (s *DerivedState) NoteStart(key AttemptID, at time.Time) {
	if job := s.Jobs[key.Job]; job != nil {
		if a := job.Live[key.Task]; a != nil && a.Number >= key.Number {
			if a.Number == key.Number {
				a.ReplicatedStart = at
			}
			return
		}
	}
	if _, known := s.Starts[key]; !known && len(s.Starts) >= PendingStartsLimit {
		s.DroppedStarts++
		return
	}
	s.Starts[key] = at
}

// pruneStarts forgets the starts of attempts whose records have not come and won't.
func (s *DerivedState) pruneStarts(now time.Time) {
	maps.DeleteFunc(s.Starts, func(_ AttemptID, at time.Time) bool { return now.Sub(at) > pendingStartAge })
}

// KnownStarts is of how many live attempts the start is known.
func (s *DerivedState) KnownStarts() (count int) {
	for _, job := range s.Jobs {
		for _, a := range job.Live {
			if !a.ReplicatedStart.IsZero() {
				count++
			}
		}
	}
	return count
}

// UnknownJobs lists jobs that the records name and that are neither known here nor among the job
// records read: final ones whose attempts are not all proven over, and those whose own record has
// not come yet.
func (s *DerivedState) UnknownJobs(known map[string]*cluster.Job, read map[string]*protocol.Item) (ids []string) {
	for id := range s.Jobs {
		if known[id] == nil && read[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
