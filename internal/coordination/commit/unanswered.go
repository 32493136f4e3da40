package commit

import (
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// A transaction without an answer may have been committed, or may be committed at any later time.
// Its keys are read back, and the next write is conditional on the revisions read, so that either
// the late transaction or its retry is committed, but not both (rule 2).

// rereadLimit is the maximum number of chunks that are read back at a time.
const rereadLimit = 8

// handleUnansweredBatch processes a batch that may or may not be committed. The batch's chunks are
// marked to be read back, and its token raises are requested again.
func (c *Committer) handleUnansweredBatch(partition *cluster.Partition, b *batch, err error) {
	c.metrics.Count(telemetry.CommitUnanswered, 1)
	c.log.Info("commit unanswered", "partition", partition.Index, "error", err)
	for _, write := range b.chunks {
		write.chunk.Unconfirmed, partition.HasUnconfirmedChunk = true, true
	}
	if b.raisesTokens {
		partition.TokenRaiseBy = time.Now().Add(tokenRecordRetryDelay)
	}
	for _, machine := range b.tokenRaises {
		// If the record was written, the watch or the next heartbeat delivers the new
		// token.
		machine.RaiseTokenBy(time.Now())
	}
}

// unconfirmedChunks returns chunks whose last write was not answered, up to rereadLimit.
func (c *Committer) unconfirmedChunks(partition *cluster.Partition) []chunkRef {
	if !partition.Held || !partition.Ready || !partition.HasUnconfirmedChunk {
		return nil
	}
	var chunks []chunkRef
	for _, job := range c.Jobs {
		if job.Partition != partition.Index || !job.HasRunState {
			continue
		}
		for _, chunk := range job.Chunks {
			if chunk.Unconfirmed && len(chunks) < rereadLimit {
				chunks = append(chunks, chunkRef{job: job, chunk: chunk})
			}
		}
	}
	partition.HasUnconfirmedChunk = len(chunks) > 0
	return chunks
}

// rereadChunks reads back the run records of chunks whose last write was not answered, and the
// final records of their jobs. It returns false if a read fails.
func (c *Committer) rereadChunks(partition *cluster.Partition, chunks []chunkRef) bool {
	for _, ref := range chunks {
		id := ref.job.Spec.ID
		run, err := c.getIfPresent(storage.RunKey(partition.Index, id, ref.chunk.Index))
		if err != nil {
			return false
		}
		final, err := c.getIfPresent(storage.FinalKey(id))
		if err != nil {
			return false
		}
		c.loop.Do(func() { c.applyRereadChunk(partition, ref, run, final) })
	}
	return true
}

// getIfPresent reads a key. It returns nil if the key does not exist.
func (c *Committer) getIfPresent(key string) (*protocol.Item, error) {
	item, err := c.store.Get(c.loop.Context(), key)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, nil
	}
	return item, err
}

// applyRereadChunk updates a chunk from its run record and its job's final record, which are nil if
// they do not exist.
func (c *Committer) applyRereadChunk(partition *cluster.Partition, ref chunkRef, run, final *protocol.Item) {
	id := ref.job.Spec.ID
	if c.Jobs[id] != ref.job || !ref.job.HasRunState || !partition.Held {
		return // the partition was lost in the meantime
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
