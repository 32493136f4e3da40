package scheduler

import (
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

// HasRecordRoom says whether the record of a chunk has room for one more attempt.
// It adds up what the chunk's tasks take now; as they end, that only falls.
func (sched *Scheduler) HasRecordRoom(j *cluster.Job, task int, number uint64, m *cluster.Machine) bool {
	size := storage.RunBaseSize + storage.AttemptSize(number, m.Name, m.Epoch)
	index := task / storage.ChunkTasks
	for t := index * storage.ChunkTasks; t < min((index+1)*storage.ChunkTasks, j.Spec.Tasks); t++ {
		if a := j.LiveAttempts[t]; a != nil && a.Live() {
			size += storage.AttemptSize(a.Number, a.Machine.Name, a.Epoch)
		} else if j.TaskDone[t] && (t%storage.ChunkTasks == 0 || !j.TaskDone[t-1]) {
			size += storage.DoneRangeSize
		}
	}
	return size <= sched.store.ValueBytes()
}
