package commit

import (
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// handleBatchFailure processes a batch that was refused or not answered. The batch's chunks are
// written again.
func (c *Committer) handleBatchFailure(partition *cluster.Partition, b *batch, err error) {
	b.restoreChunks()
	var conflict *storage.Conflict
	switch {
	case errors.Is(err, storage.ErrUnknown):
		c.handleUnansweredBatch(partition, b, err)
	case errors.As(err, &conflict):
		c.handleConflict(partition, b, conflict)
	default:
		c.log.Debug("commit refused", "partition", partition.Index, "error", err)
	}
}

// restoreChunks marks the chunks of a failed batch as dirty, and moves their exited attempts back
// to them.
func (b *batch) restoreChunks() {
	for _, write := range b.chunks {
		write.chunk.Exited = append(write.exited, write.chunk.Exited...)
		write.chunk.Dirty, write.job.MayHaveDirtyChunk = true, true
	}
}

// handleConflict processes the failed conditions of a batch, and marks the affected keys to be
// read.
func (c *Committer) handleConflict(partition *cluster.Partition, b *batch, conflict *storage.Conflict) {
	c.metrics.Count(telemetry.CommitConflict, 1)
	for _, key := range conflict.Failed {
		switch kind, id := storage.ParseKey(key); kind {
		case storage.KindLease:
			if b.leaseRevision() == partition.LeaseRevision {
				c.leases.StopLeading(partition, "lease revision changed")
			}
		case storage.KindFinal:
			c.loop.Go(func() { c.readFinal(id) })
		case storage.KindMachine:
			// The watch delivers the newer record.
		case storage.KindToken:
			partition.TokenRaiseBy = time.Now().Add(tokenRecordRetryDelay)
		default:
			b.markUnconfirmed(partition, key)
		}
	}
}

// markUnconfirmed marks the chunk of a run record's key as unconfirmed, so that the record is read
// back before it is written again.
func (b *batch) markUnconfirmed(partition *cluster.Partition, key string) {
	for _, write := range b.chunks {
		if storage.RunKey(partition.Index, write.job.Spec.ID, write.chunk.Index) == key {
			write.chunk.Unconfirmed, partition.HasUnconfirmedChunk = true, true
		}
	}
}

// readFinal reads and applies the final record of a job, after a commit failed because the record
// exists.
func (c *Committer) readFinal(id string) {
	item, err := c.store.Get(c.loop.Context(), storage.FinalKey(id))
	if err != nil {
		return
	}
	c.loop.Do(func() { c.jobs.ApplyFinalRecord(id, item.Value) })
}
