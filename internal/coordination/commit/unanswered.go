package commit

import (
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// A transaction without an answer may have been applied, or may be at any later time. Its keys
// are read back, and the next write is conditional on the revisions seen, so that the late
// transaction and its repetition exclude each other (rule 2).

// rereadLimit is how many chunks are read back at a time.
const rereadLimit = 8

// batchUnanswered takes in that nobody knows whether a batch was applied or will be.
func (c *Committer) batchUnanswered(partition *cluster.Partition, b *batch, err error) {
	c.metrics.Count(telemetry.CommitUnanswered, 1)
	c.log.Info("commit unanswered", "partition", partition.Index, "error", err)
	for _, write := range b.chunks {
		write.chunk.Unconfirmed, partition.HasUnconfirmedChunk = true, true
	}
	for _, machine := range b.tokenRaises {
		// The watch or the next heartbeat shows whether it was applied.
		machine.RaiseTokenBy(time.Now())
	}
}

// unconfirmedChunks lists chunks whose last write went unanswered.
func (c *Committer) unconfirmedChunks(partition *cluster.Partition) []chunkRef {
	if !partition.Held || !partition.Ready || !partition.HasUnconfirmedChunk {
		return nil
	}
	var list []chunkRef
	for _, job := range c.Jobs {
		if job.Partition != partition.Index || !job.HasRunState {
			continue
		}
		for _, chunk := range job.Chunks {
			if chunk.Unconfirmed && len(list) < rereadLimit {
				list = append(list, chunkRef{job: job, chunk: chunk})
			}
		}
	}
	partition.HasUnconfirmedChunk = len(list) > 0
	return list
}

// rereadChunks reads back the records of chunks whose write went unanswered, and whether their
// jobs have ended. It reports whether all could be read.
func (c *Committer) rereadChunks(partition *cluster.Partition, list []chunkRef) bool {
	for _, ref := range list {
		id := ref.job.Spec.ID
		run, err := c.getIfPresent(storage.RunKey(partition.Index, id, ref.chunk.Index))
		if err != nil {
			return false
		}
		final, err := c.getIfPresent(storage.FinalKey(id))
		if err != nil {
			return false
		}
		c.loop.Do(func() { c.chunkReread(partition, ref, run, final) })
	}
	return true
}

// getIfPresent reads a key; nil: it is absent.
func (c *Committer) getIfPresent(key string) (*protocol.Item, error) {
	item, err := c.store.Get(c.loop.Context(), key)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, nil
	}
	return item, err
}

// chunkReread takes in the records of a chunk and of its job's end, nil where absent.
func (c *Committer) chunkReread(partition *cluster.Partition, ref chunkRef, run, final *protocol.Item) {
	id := ref.job.Spec.ID
	if c.Jobs[id] != ref.job || !ref.job.HasRunState || !partition.Held {
		return // the partition was lost meanwhile
	}
	ref.chunk.Unconfirmed = false
	ref.chunk.Revision = 0
	if run != nil {
		ref.chunk.Revision = run.Version
	}
	ref.job.MarkDirty(ref.chunk.Index*storage.ChunkTasks, true, time.Now())
	if final != nil {
		c.jobs.ApplyFinalRecord(id, final.Value)
	}
}
