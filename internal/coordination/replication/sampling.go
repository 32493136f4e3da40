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
	// sampleInterval is how often a sample of sampleSize records is compared.
	sampleInterval = 5 * time.Second
	sampleSize     = 20
	// loggedKeys is how many of the keys that differ are logged.
	loggedKeys = 5
)

// sampleDue says whether to read the next sample: not before the last one was compared.
func (r *Replica) sampleDue(now time.Time) bool {
	return r.Records.Revision() != 0 && r.sample == nil && now.Sub(r.sampledAt) >= sampleInterval
}

// readSample reads the page of the state store after the cursor.
func (r *Replicator) readSample(ctx context.Context, replica *Replica, cursor string) {
	page, err := r.store.Page(ctx, storage.RunPrefix(replica.partition), cursor, sampleSize)
	if err != nil {
		return // the next turn reads it
	}
	r.ifCurrent(replica, func() { replica.takeSample(page, time.Now()) })
}

// takeSample holds a page of the state store until the replica has come to its revision.
func (r *Replica) takeSample(page *protocol.ItemList, now time.Time) {
	sample := &recordset.Sample[*storage.RunRecord]{From: r.cursor, Revision: page.Revision}
	unlogged := func(string, ...any) {} // logged when it came with the changes
	for _, item := range page.Items {
		if change, ok := parseChange(unlogged, item.Key, item.Version, false, item.Value); ok {
			sample.Records = append(sample.Records, change)
		}
	}
	if page.More && len(page.Items) > 0 {
		sample.Last = page.Items[len(page.Items)-1].Key
	}
	r.sample, r.sampledAt, r.cursor = sample, now, sample.Last
	r.Derived.pruneStarts(now)
}

// compareSample compares the sample with the records once these have come to its revision, and
// makes the replica begin anew if they differ.
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
		r.log.Error("standby replica differs from the state store", "partition", replica.partition, "keys", keys[:min(loggedKeys, len(keys))], "count", len(keys))
		replica.reset()
	}
}

func equalRunRecords(a, b *storage.RunRecord) bool {
	return a.Last == b.Last && slices.Equal(a.Done, b.Done) && slices.Equal(a.Live, b.Live)
}
