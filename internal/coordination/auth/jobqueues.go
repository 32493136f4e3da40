package auth

import (
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
)

// NoteJob remembers the queue of an accepted job, from its record. It runs in the loop.
func (a *Auth) NoteJob(id string, record []byte) {
	if !a.enabled {
		return
	}
	if _, known := a.jobQueues.queueOf(id); known {
		return
	}
	var spec protocol.JobSpec
	if storage.Decode(record, &spec) == nil {
		a.jobQueues.add(&spec)
	}
}

// JobQueue returns the queue of a job, and whether this controller knows the job. It runs
// in the loop.
func (a *Auth) JobQueue(id string) (queue rights.Queue, known bool) { return a.jobQueues.queueOf(id) }

// jobQueueIndex remembers the queue of every job, ended ones too. Jobs are many and queues
// are few, so a job has the number of its queue only. It belongs to the loop.
type jobQueueIndex struct {
	queues  []rights.Queue
	numbers map[rights.Queue]uint32 // indices into queues
	jobs    map[string]uint32       // the same, by job id
}

func (x *jobQueueIndex) init() {
	x.numbers, x.jobs = map[rights.Queue]uint32{}, map[string]uint32{}
}

// add remembers a job's queue.
func (x *jobQueueIndex) add(spec *protocol.JobSpec) {
	queue := rights.Queue{Team: spec.Team, Class: spec.Class}
	number, ok := x.numbers[queue]
	if !ok {
		number = uint32(len(x.queues))
		x.numbers[queue] = number
		x.queues = append(x.queues, queue)
	}
	x.jobs[spec.ID] = number
}

func (x *jobQueueIndex) queueOf(id string) (queue rights.Queue, known bool) {
	number, known := x.jobs[id]
	if !known {
		return rights.Queue{}, false
	}
	return x.queues[number], true
}
