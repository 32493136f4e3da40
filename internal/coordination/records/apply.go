package records

import (
	"fmt"
	"strconv"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// listedKeys holds the keys or names of the deletable records in a listing.
type listedKeys struct {
	machines map[string]bool // by machine name
	leases   map[string]bool // by key, including the cluster leadership
	policy   map[string]bool // by key
}

// ApplyListing replaces the current shared records by a listing at a revision.
func (w *Watcher) ApplyListing(items []protocol.Item, revision uint64) {
	now := time.Now()
	w.ListedEndTimes = map[string]time.Time{}
	defer func() { w.ListedEndTimes = nil }()
	// Final records are applied first, so that ended jobs are not added.
	w.applyListedFinalRecords(items)
	w.leases.AddUnknownLeaders(now)
	w.scheduler.ResetDoneCounts()
	listed := w.applyListedRecords(items)
	w.dropUnlisted(listed, revision, now)
	if !w.Synced {
		w.Synced = true
		w.log.Info("shared records listed", "jobs", len(w.Jobs), "final", len(w.FinalStates), "machines", len(w.Machines), "revision", revision)
	}
}

// applyListedFinalRecords applies the final records of a listing.
func (w *Watcher) applyListedFinalRecords(items []protocol.Item) {
	for _, item := range items {
		if kind, id := storage.ParseKey(item.Key); kind == storage.KindFinal {
			w.jobs.ApplyFinalRecord(id, item.Value)
		}
	}
}

// applyListedRecords applies all records of a listing except final records, and returns its keys.
func (w *Watcher) applyListedRecords(items []protocol.Item) listedKeys {
	listed := listedKeys{machines: map[string]bool{}, leases: map[string]bool{}, policy: map[string]bool{}}
	for _, item := range items {
		switch kind, name := storage.ParseKey(item.Key); kind {
		case storage.KindJob:
			w.scheduler.CountListedJob(name, item.Value)
		case storage.KindMachine:
			listed.machines[name] = true
		case storage.KindLease, storage.KindLeadership:
			listed.leases[item.Key] = true
		case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
			listed.policy[item.Key] = true
		case storage.KindFinal:
			continue
		}
		w.ApplyEvent(protocol.Event{Put: item.Key, Value: item.Value, Version: item.Version})
	}
	return listed
}

// dropUnlisted deletes records that are not in a listing at a revision. It keeps machine records that
// were written after that revision, since the listing may lack them (rule 4).
func (w *Watcher) dropUnlisted(listed listedKeys, revision uint64, now time.Time) {
	for name, m := range w.Machines {
		if !listed.machines[name] && m.Revision <= revision {
			w.agents.ApplyMachineDeletion(name, now)
		}
	}
	for _, p := range w.Partitions {
		if key := storage.LeaseKey(p.Index); !listed.leases[key] && p.LeaseRevision != 0 {
			w.ApplyEvent(protocol.Event{Delete: key, Version: revision})
		}
	}
	for _, p := range w.Partitions {
		// A partition that has had no lease record so far counts as vacant from now on, which
		// gives its preferred leader time to start.
		if p.LeaseRevision == 0 && p.VacantSince.IsZero() {
			p.VacantSince = now
		}
	}
	if !listed.leases[storage.LeadershipKey] {
		w.ApplyEvent(protocol.Event{Delete: storage.LeadershipKey, Version: revision})
	}
	if w.auth.Enabled() {
		w.auth.DropUnlistedPolicy(listed.policy)
	}
}

// ApplyEvent passes a changed or deleted record to the component that owns this kind of record.
func (w *Watcher) ApplyEvent(event protocol.Event) {
	now := time.Now()
	key := event.Put + event.Delete // one of the two is empty
	deleted := event.Delete != ""
	kind, name := storage.ParseKey(key)
	switch kind {
	case storage.KindLease:
		w.applyLease(key, event, now)
	case storage.KindLeadership:
		w.autoscaler.ApplyLeadership(event, now)
	case storage.KindToken:
		if !deleted {
			w.applyToken(name, event)
		}
	case storage.KindMachine:
		w.applyMachine(name, event, now)
	case storage.KindJob:
		if !deleted {
			w.jobs.ApplyJobRecord(name, event.Value)
		}
	case storage.KindFinal:
		if !deleted {
			w.jobs.ApplyFinalRecord(name, event.Value)
		}
	case storage.KindIncarnation:
		w.leases.ApplyIncarnation(name, event)
	case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
		w.applyPolicy(kind, name, event)
	case storage.KindCatalog:
		if !deleted {
			w.applyCatalog(event.Value)
		}
	}
}

// applyLease applies a change of a partition's lease record.
func (w *Watcher) applyLease(key string, event protocol.Event, now time.Time) {
	for _, p := range w.Partitions {
		if storage.LeaseKey(p.Index) == key {
			w.leases.ApplyLease(p, event, now)
		}
	}
}

// applyToken applies a change of a partition's token record.
func (w *Watcher) applyToken(name string, event protocol.Event) {
	index, err := strconv.Atoi(name)
	if err == nil && (index < 0 || index >= len(w.Partitions)) {
		err = fmt.Errorf("partition %d does not exist", index)
	}
	var record storage.Token
	if err == nil {
		err = storage.Decode(event.Value, &record)
	}
	if err != nil {
		w.log.Error("invalid token record", "key", event.Put, "error", err)
		return
	}
	partition := w.Partitions[index]
	if event.Version <= partition.TokenRecord.Revision {
		return
	}
	partition.TokenRecord = cluster.TokenRecord{Revision: event.Version, LeaseRevision: record.LeaseRevision}
	if partition.Held && partition.RaisedToken() != 0 {
		// All starts sent so far bear lower tokens, so this record serves every request.
		partition.TokenRaiseBy = time.Time{}
		w.log.Info("tokens raised", "partition", index, "token", partition.RaisedToken())
	}
}

// applyMachine applies a change of a machine's record. A deletion that is older than the current
// record is ignored.
func (w *Watcher) applyMachine(name string, event protocol.Event, now time.Time) {
	if event.Delete != "" {
		if m := w.Machines[name]; m != nil && event.Version >= m.Revision {
			w.agents.ApplyMachineDeletion(name, now)
		}
		return
	}
	var rec storage.Machine
	err := storage.Decode(event.Value, &rec)
	if err == nil && (rec.Partition < 0 || rec.Partition >= len(w.Partitions)) {
		err = fmt.Errorf("partition %d does not exist", rec.Partition)
	}
	if err != nil {
		w.log.Error("invalid machine record", "machine", name, "error", err)
		return
	}
	w.agents.ApplyMachineRecord(name, rec, event.Version, now)
}

// applyPolicy applies a change of a record of the access policy.
func (w *Watcher) applyPolicy(kind storage.RecordKind, name string, event protocol.Event) {
	if !w.auth.Enabled() {
		return
	}
	if err := w.auth.ApplyPolicyRecord(kind, name, event); err != nil {
		w.log.Error("invalid policy record", "key", event.Put+event.Delete, "error", err)
	}
}

// applyCatalog sets the machine types from the catalog record if there are none yet. Each controller
// also reads them from the cloud; the record is used until the first response of the cloud.
func (w *Watcher) applyCatalog(raw []byte) {
	var catalog protocol.Catalog
	if err := storage.Decode(raw, &catalog); err == nil && len(w.Catalog) == 0 {
		w.SetCatalog(catalog.Types)
	}
}
