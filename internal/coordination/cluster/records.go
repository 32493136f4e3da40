package cluster

import (
	"time"

	"micaspindle/internal/protocol"
)

func (s *State) SetCatalog(types []protocol.MachineType) {
	s.Catalog = types
	s.MachineTypes = map[string]*protocol.MachineType{}
	for i := range types {
		s.MachineTypes[types[i].Name] = &types[i]
	}
	for _, m := range s.Machines {
		m.Type = s.MachineTypes[m.Record.Type]
	}
}

// SteadyTime is the moment on the steady clock of a wall clock's reading that lies
// in the past.
func SteadyTime(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, now.UnixMilli()-ms)) * time.Millisecond)
}

// Load prepares a job for its part's owner, with all tasks waiting.
func (j *Job) Load() {
	j.Loaded = true
	j.TaskDone = make([]bool, j.Spec.Tasks)
	j.DoneCount, j.RunningCount, j.Completing = 0, 0, false
	j.LiveAttempts, j.Chunks, j.FailedMachines, j.RunTimesS = map[int]*Attempt{}, map[int]*RunChunk{}, nil, nil
	j.Pending = make([]int, j.Spec.Tasks)
	for i := range j.Pending {
		j.Pending[i] = i
	}
}

// Unload forgets what only the owner keeps.
func (j *Job) Unload() {
	j.Loaded, j.TaskDone, j.LiveAttempts, j.Chunks, j.Pending = false, nil, nil, nil, nil
	j.Completing, j.RunningCount, j.DoneCount = false, 0, 0
}
