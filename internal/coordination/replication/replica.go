package replication

import (
	"time"

	"micaspindle/internal/coordination/recordset"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// runRecordChange is a change of a partition's run records.
type runRecordChange = recordset.Change[*storage.RunRecord]

// logError logs an error with attributes, as slog.Logger.Error does.
type logError = func(message string, attributes ...any)

// Replica is a copy of one partition's run records, with the state that they derive, ready to be
// taken over.
type Replica struct {
	partition int
	Records   recordset.Set[*storage.RunRecord]
	Derived   DerivedState
	Updates   ReceivedUpdates
	// wantedAt is when this controller was last named the partition's standby.
	wantedAt time.Time
	// asOf is when the last answer that was applied had been requested.
	asOf time.Time
	// behind notes when the replica falls behind.
	behind recordset.Lag
	// sampledAt is when a sample of the state store was last read, cursor where the next one
	// begins, sample the one that the records have not come to yet.
	sampledAt time.Time
	cursor    string
	sample    *recordset.Sample[*storage.RunRecord]
}

// NewReplica makes a replica of a partition that knows nothing yet.
func NewReplica(partition int, now time.Time) *Replica {
	return &Replica{partition: partition, Derived: newDerivedState(), wantedAt: now, asOf: now, sampledAt: now}
}

// lag is for how long nothing of the state store was applied.
func (r *Replica) lag(now time.Time) time.Duration { return now.Sub(r.asOf) }

// StartFrom begins the replica with a listing of the run records that stands at a revision. Records
// that can't be read are logged and left out.
func (r *Replica) StartFrom(log logError, items []protocol.Item, revision uint64, requestedAt time.Time) {
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

// Apply applies the changes after a revision; false: they don't join what is known.
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

// reset forgets the records, so that they are read anew.
func (r *Replica) reset() {
	r.Records.Reset()
	r.Derived, r.sample = newDerivedState(), nil
	r.Updates.Acknowledged = 0 // what was sent of attempts went with their records
}

// inherit takes the received updates from a replica that can't be used itself.
func (r *Replica) inherit(from *Replica) {
	r.Updates = from.Updates
	for id, job := range from.Derived.Jobs {
		for task, a := range job.Live {
			if !a.ReplicatedStart.IsZero() {
				r.Derived.NoteStart(AttemptID{Job: id, Task: task, Number: a.Number}, a.ReplicatedStart)
			}
		}
	}
}

// parseChange reads a run record as it comes from the state store; ok is false, after logging, if
// it can't be read.
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
