package commit

import (
	"errors"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// batchFailed takes in that a batch was refused or went unanswered. Its chunks are to be written
// again.
func (c *Committer) batchFailed(partition *cluster.Partition, b *batch, err error) {
	b.putBack()
	var conflict *storage.Conflict
	switch {
	case errors.Is(err, storage.ErrUnknown):
		c.batchUnanswered(partition, b, err)
	case errors.As(err, &conflict):
		c.batchConflicted(partition, b, conflict)
	default:
		c.log.Debug("commit refused", "partition", partition.Index, "error", err)
	}
}

// putBack marks the chunks of a batch for the next one, with the ends of their attempts.
func (b *batch) putBack() {
	for _, write := range b.chunks {
		write.chunk.Exited = append(write.exited, write.chunk.Exited...)
		write.chunk.Dirty, write.job.MayHaveDirtyChunk = true, true
	}
}

// batchConflicted takes in which conditions of a batch failed, and finds out about those keys.
func (c *Committer) batchConflicted(partition *cluster.Partition, b *batch, conflict *storage.Conflict) {
	c.metrics.Count(telemetry.CommitConflict, 1)
	for _, key := range conflict.Failed {
		switch kind, id := storage.ParseKey(key); kind {
		case storage.KindLease:
			if b.leaseRevision() == partition.LeaseRevision {
				c.leases.LosePartition(partition, "a commit found the lease gone")
			}
		case storage.KindFinal:
			c.loop.Go(func() { c.readFinal(id) })
		case storage.KindMachine:
			// The watch brings the newer record.
		default:
			b.markUnconfirmed(partition, key)
		}
	}
}

// markUnconfirmed has the chunk whose record is under a key read before it is written again.
func (b *batch) markUnconfirmed(partition *cluster.Partition, key string) {
	for _, write := range b.chunks {
		if storage.RunKey(partition.Index, write.job.Spec.ID, write.chunk.Index) == key {
			write.chunk.Unconfirmed, partition.HasUnconfirmedChunk = true, true
		}
	}
}

// readFinal reads how a job ended, after a commit found that it has.
func (c *Committer) readFinal(id string) {
	item, err := c.store.Get(c.loop.Context(), storage.FinalKey(id))
	if err != nil {
		return
	}
	c.loop.Do(func() { c.jobs.ApplyFinalRecord(id, item.Value) })
}
