package replication

import (
	"context"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/recordset"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

const (
	// sampleInterval is the minimum time between two samples of sampleSize records.
	sampleInterval = 5 * time.Second
	sampleSize     = 20
	// maxLoggedKeys is the maximum number of differing keys in a log line.
	maxLoggedKeys = 5
)

// sampleDue reports whether the next sample is to be read. No sample is read while another one is
// waiting to be compared.
func (r *Replica) sampleDue(now time.Time) bool {
	return r.Records.Revision() != 0 && r.sample == nil && now.Sub(r.sampledAt) >= sampleInterval
}

// readSample reads the page of run records after the cursor and stores it for comparison.
func (r *Replicator) readSample(ctx context.Context, replica *Replica, cursor string) {
	page, err := r.store.Page(ctx, storage.RunPrefix(replica.partition), cursor, sampleSize)
	if err != nil {
		return // retried with the next update of the replica
	}
	r.ifCurrent(replica, func() { replica.storeSample(page, time.Now()) })
}

// storeSample keeps a page of run records until the replica has reached the page's revision.
func (r *Replica) storeSample(page *protocol.ItemList, now time.Time) {
	sample := &recordset.Sample[*storage.RunRecord]{After: r.sampleCursor, Revision: page.Revision}
	unlogged := func(string, ...any) {} // invalid records were logged when they were first read
	for _, item := range page.Items {
		if change, ok := parseChange(unlogged, item.Key, item.Version, false, item.Value); ok {
			sample.Records = append(sample.Records, change)
		}
	}
	if page.More && len(page.Items) > 0 {
		sample.Last = page.Items[len(page.Items)-1].Key
	}
	r.sample, r.sampledAt, r.sampleCursor = sample, now, sample.Last
	r.Derived.pruneStarts(now)
}

// compareSample compares the sample with the replica's records, once these have reached the sample's
// revision, and resets the replica if they differ.
func (r *Replicator) compareSample(replica *Replica) {
	if replica.sample == nil {
		return
	}
	keys, ok := replica.Records.Mismatches(*replica.sample, equalRunRecords)
	if !ok {
		return
	}
	replica.sample = nil
	maps.DeleteFunc(replica.Updates.Machines, func(name string, _ MachineHints) bool { return r.Machines[name] == nil })
	if len(keys) > 0 {
		r.metrics.Count(telemetry.ReplicaDiffers, 1)
		r.Mismatches++
		r.log.Error("standby replica differs from the state store", "partition", replica.partition, "keys", keys[:min(maxLoggedKeys, len(keys))], "count", len(keys))
		replica.reset()
	}
}

func equalRunRecords(a, b *storage.RunRecord) bool {
	return a.Last == b.Last && slices.Equal(a.Done, b.Done) && slices.Equal(a.Live, b.Live)
}
