package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/placement"
	"micaspindle/internal/storage"
)

// reservePlan reserves attempts for all assignments of a plan, in which the assignments of a job are
// consecutive. The plan refers to jobs and machines by their indexes in the placement buffers.
func (s *Scheduler) reservePlan(p *cluster.Partition, plan []placement.Assignment, now time.Time) {
	for len(plan) > 0 {
		job, count := plan[0].Job, 1
		for count < len(plan) && plan[count].Job == job {
			count++
		}
		s.reserveJob(p, s.placementBuffers.jobs[job], plan[:count], now)
		plan = plan[count:]
	}
}

// reserveJob reserves the attempts that were planned for a job. Attempts that don't fit into the
// job's records are left to the next round. Of a gang, either all attempts are reserved or none.
func (s *Scheduler) reserveJob(p *cluster.Partition, job *cluster.Job, plan []placement.Assignment, now time.Time) {
	if job.Spec.Gang {
		s.reserveGang(p, job, plan, now)
		return
	}
	reserved := 0
	for _, assignment := range plan {
		task, machine := job.Pending[reserved], s.placementBuffers.machines[assignment.Machine]
		number := job.Chunk(task).LastNumber + 1
		if !s.hasRecordSpace(job, task, number, machine) {
			break
		}
		s.Reserve(p, job, task, number, machine, now)
		reserved++
	}
	dropPending(job, reserved)
}

// reserveGang reserves attempts for all tasks of a gang, or none if they don't fit into its records.
// All attempts share one attempt number, which identifies them to the agents as one gang.
func (s *Scheduler) reserveGang(p *cluster.Partition, job *cluster.Job, plan []placement.Assignment, now time.Time) {
	number := uint64(1)
	previous := map[int]cluster.RunChunk{}
	for index, chunk := range job.Chunks {
		previous[index] = *chunk
		number = max(number, chunk.LastNumber+1)
	}
	for index, assignment := range plan {
		task, machine := job.Pending[index], s.placementBuffers.machines[assignment.Machine]
		if !s.hasRecordSpace(job, task, number, machine) {
			s.unreserveGang(p, job, previous)
			return
		}
		s.Reserve(p, job, task, number, machine, now)
	}
	dropPending(job, len(plan))
}

// dropPending removes the first count tasks, for which attempts were reserved, from a job's pending
// tasks.
func dropPending(job *cluster.Job, count int) {
	job.Pending = job.Pending[count:]
	if len(job.Pending) == 0 {
		job.Pending = nil // frees the backing array
	}
}

// unreserveGang undoes the reservations for a gang. previous holds copies of the job's chunks as they
// were before the first reservation.
func (s *Scheduler) unreserveGang(p *cluster.Partition, job *cluster.Job, previous map[int]cluster.RunChunk) {
	for _, attempt := range job.LiveAttempts {
		delete(attempt.Machine.Attempts, cluster.AttemptKey(attempt.TaskName(), attempt.Number))
		attempt.Machine.RecountUsed()
		p.Usage[job.Team].Add(cluster.ResourcesOf(job.Spec), -1)
	}
	clear(job.LiveAttempts)
	for index, chunk := range job.Chunks {
		old, existed := previous[index]
		if !existed {
			delete(job.Chunks, index)
			continue
		}
		chunk.Dirty, chunk.Urgent, chunk.LastNumber = old.Dirty, old.Urgent, old.LastNumber
	}
}

// Reserve creates an attempt of a task on a machine, adds its resources to the usage of the machine and
// of the team, and marks the task's chunk of the job's records as changed.
func (s *Scheduler) Reserve(p *cluster.Partition, job *cluster.Job, task int, number uint64, machine *cluster.Machine, now time.Time) {
	chunk := job.Chunk(task)
	chunk.LastNumber = max(chunk.LastNumber, number)
	attempt := &cluster.Attempt{Job: job, TaskIndex: task, Number: number, Machine: machine, Epoch: machine.Epoch, PlacedAt: now}
	job.LiveAttempts[task] = attempt
	job.RecordPlacement(machine, now)
	machine.Attempts[cluster.AttemptKey(attempt.TaskName(), attempt.Number)] = attempt
	p.Usage[job.Team].Add(cluster.ResourcesOf(job.Spec), 1)
	machine.RecountUsed()
	machine.IdleSince = now
	job.MarkDirty(task, true, now)
}

// hasRecordSpace reports whether the record of a task's chunk has space for one more attempt. It
// adds up the present sizes of the entries of the chunk's tasks, which don't grow later.
func (s *Scheduler) hasRecordSpace(job *cluster.Job, task int, number uint64, machine *cluster.Machine) bool {
	size := storage.RunBaseSize + storage.AttemptSize(number, machine.Name, machine.Epoch)
	first := task / storage.ChunkTasks * storage.ChunkTasks
	for t := first; t < min(first+storage.ChunkTasks, job.Spec.Tasks); t++ {
		if attempt := job.LiveAttempts[t]; attempt != nil && attempt.Live() {
			size += storage.AttemptSize(attempt.Number, attempt.Machine.Name, attempt.Epoch)
		} else if job.TaskDone[t] && (t == first || !job.TaskDone[t-1]) {
			size += storage.DoneRangeSize
		}
	}
	return size <= s.store.ValueBytes()
}
