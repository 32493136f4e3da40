package auth

import (
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
)

// AddJobQueue adds the queue of an accepted job to the index, from the job's record. It must be
// called in the event loop.
func (a *Auth) AddJobQueue(id string, record []byte) {
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

// JobQueue returns the queue of a job, and whether the job is in this controller's index. It must
// be called in the event loop.
func (a *Auth) JobQueue(id string) (queue rights.Queue, known bool) { return a.jobQueues.queueOf(id) }

// jobQueueIndex holds the queue of every job, including finished jobs. Since there are many
// jobs and few queues, it stores an index into queues for each job. It is owned by the event
// loop.
type jobQueueIndex struct {
	queues     []rights.Queue
	indices    map[rights.Queue]uint32 // index into queues, by queue
	indexByJob map[string]uint32       // index into queues, by job id
}

func (x *jobQueueIndex) init() {
	x.indices, x.indexByJob = map[rights.Queue]uint32{}, map[string]uint32{}
}

// add stores a job's queue.
func (x *jobQueueIndex) add(spec *protocol.JobSpec) {
	queue := rights.Queue{Team: spec.Team, Class: spec.Class}
	number, ok := x.indices[queue]
	if !ok {
		number = uint32(len(x.queues))
		x.indices[queue] = number
		x.queues = append(x.queues, queue)
	}
	x.indexByJob[spec.ID] = number
}

func (x *jobQueueIndex) queueOf(id string) (queue rights.Queue, known bool) {
	number, known := x.indexByJob[id]
	if !known {
		return rights.Queue{}, false
	}
	return x.queues[number], true
}
