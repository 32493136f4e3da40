package replication

import (
	"time"

	"micaspindle/internal/coordination/recordset"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// runRecordChange is a change of one run record.
type runRecordChange = recordset.Change[*storage.RunRecord]

// logError logs an error with attributes, as slog.Logger.Error does.
type logError = func(message string, attributes ...any)

// Replica is a copy of one partition's run records with the state derived from them, kept for a
// takeover of the partition.
type Replica struct {
	partition int
	Records   recordset.Set[*storage.RunRecord]
	Derived   DerivedState
	Updates   ReceivedUpdates
	// wantedAt is the time at which this controller was last found to be the partition's standby.
	wantedAt time.Time
	// asOf is the request time of the newest applied response: the replica has all earlier changes.
	// Until the first response, it is the creation time of the replica.
	asOf time.Time
	// lagState records whether the replica was last logged as behind.
	lagState recordset.Lag
	// sampledAt is the time at which a sample of the state store was last read. sampleCursor is the
	// key after which the next sample begins. sample is to be compared once the records have reached
	// its revision; nil if there is none.
	sampledAt    time.Time
	sampleCursor string
	sample       *recordset.Sample[*storage.RunRecord]
}

// NewReplica creates an empty replica of a partition.
func NewReplica(partition int, now time.Time) *Replica {
	return &Replica{partition: partition, Derived: newDerivedState(), wantedAt: now, asOf: now, sampledAt: now}
}

// lag returns the age of the replica's newest applied state.
func (r *Replica) lag(now time.Time) time.Duration { return now.Sub(r.asOf) }

// ApplyListing replaces the replica's contents by a listing of the run records at a revision. Records
// that cannot be decoded are logged and skipped.
func (r *Replica) ApplyListing(log logError, items []protocol.Item, revision uint64, requestedAt time.Time) {
	all := make([]runRecordChange, 0, len(items))
	for _, item := range items {
		if change, ok := parseChange(log, item.Key, item.Version, false, item.Value); ok {
			all = append(all, change)
		}
	}
	r.reset()
	r.Records.StartFrom(all, revision)
	for _, change := range all {
		r.Derived.apply(change)
	}
	r.asOf = requestedAt
}

// Apply applies the changes after a revision. It returns false if changes between the replica's
// revision and the given one are missing.
func (r *Replica) Apply(log logError, after uint64, events *protocol.Events, requestedAt time.Time) bool {
	changes := make([]runRecordChange, 0, len(events.Events))
	for _, e := range events.Events {
		if change, ok := parseChange(log, e.Put+e.Delete, e.Version, e.Delete != "", e.Value); ok {
			changes = append(changes, change)
		}
	}
	if !r.Records.Apply(after, events.Revision, changes, r.Derived.apply) {
		return false
	}
	if requestedAt.After(r.asOf) {
		r.asOf = requestedAt
	}
	return true
}

// reset clears the replica, so that the records are listed again.
func (r *Replica) reset() {
	r.Records.Reset()
	r.Derived, r.sample = newDerivedState(), nil
	r.Updates.Acknowledged = 0 // the received start times were dropped with the derived state
}

// adoptUpdates copies the received updates, with the attempts' start times, from a replica whose
// records cannot be used.
func (r *Replica) adoptUpdates(from *Replica) {
	r.Updates = from.Updates
	for id, job := range from.Derived.Jobs {
		for task, a := range job.Live {
			if !a.ReplicatedStart.IsZero() {
				r.Derived.StoreStart(AttemptID{Job: id, Task: task, Number: a.Number}, a.ReplicatedStart)
			}
		}
	}
}

// parseChange decodes a run record's change as returned by the state store. If that fails, it logs
// the error and returns false.
func parseChange(log logError, key string, version uint64, deleted bool, value []byte) (change runRecordChange, ok bool) {
	change = runRecordChange{Key: key, Version: version, Deleted: deleted}
	if _, _, err := storage.ParseRunKey(key); err != nil {
		log("invalid run record", "key", key, "error", err)
		return change, false
	}
	if !deleted {
		change.Value = new(storage.RunRecord)
		if err := storage.Decode(value, change.Value); err != nil {
			log("invalid run record", "key", key, "error", err)
			return change, false
		}
	}
	return change, true
}
