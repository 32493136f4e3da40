// Package records follows the shared records of the state store, by a listing and the changes
// after it, and hands each to the component that owns what it says.
package records

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Watcher follows the shared records and hands each to its owner.
type Watcher struct {
	*cluster.State
	loop  *eventloop.Loop
	store *storage.Store
	log   *slog.Logger

	agents     Agents
	auth       Auth
	autoscaler Autoscaler
	jobs       Jobs
	leases     Leases
	scheduler  Scheduler
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Watcher {
	return &Watcher{State: state, loop: loop, store: store, log: log}
}

// Connect gives it its collaborators, before the loop starts.
func (wa *Watcher) Connect(agents Agents, auth Auth, autoscaler Autoscaler, jobs Jobs, leases Leases, scheduler Scheduler) {
	wa.agents, wa.auth, wa.autoscaler, wa.jobs, wa.leases, wa.scheduler = agents, auth, autoscaler, jobs, leases, scheduler
}

// watchOutagePatience is how long a watch may go on through an outage: after one that is given
// up everything is listed.
const watchOutagePatience = 12 * time.Second

// Watch follows the shared records: a listing, then changes from there.
func (wa *Watcher) Watch() {
	tries := wa.loop.Tries("watch", followBackoff)
	// As often as the lease is renewed: the older of the two bounds what workers are
	// answered (informed).
	wait, patience := wa.Operator.ClaimTTL/3, watchOutagePatience
	if wa.auth.Enabled() {
		wait, patience = min(wait, auth.PolicyWatchWait), storage.ChangePatience
	}
	late := false
	revision := uint64(0)
	for {
		asked := time.Now()
		if revision == 0 {
			items, rev, err := wa.store.List(wa.loop.Context(), storage.WatchPrefix)
			if err != nil {
				wa.log.Debug("listing failed", "reason", err)
				if !wa.loop.Sleep(tries.Failed()) {
					return
				}
				continue
			}
			if !wa.loop.Do(func() {
				wa.ApplyListing(items, rev)
				wa.RecordsAsOf, wa.RecordsRevision = asked, rev
				wa.auth.PublishPolicy(asked)
			}) {
				return
			}
			revision = rev
			asked = time.Now()
		}
		most := wait
		if late {
			most = 0 // what was asked for long ago, before an outage perhaps, informs of little
		}
		ev, err := wa.store.Watch(wa.loop.Context(), storage.WatchPrefix, revision, most, patience)
		if err != nil {
			if wa.loop.Context().Err() != nil {
				return
			}
			// A watch that ended without an answer, or that answers 410, may
			// have missed changes; a fresh listing never does.
			wa.log.Debug("watch ended", "reason", err)
			revision = 0
			if !wa.loop.Sleep(tries.Failed()) {
				return
			}
			continue
		}
		if !wa.loop.Do(func() {
			for _, e := range ev.Events {
				wa.ApplyEvent(e)
			}
			wa.RecordsAsOf, wa.RecordsRevision = asked, max(wa.RecordsRevision, ev.Revision)
			wa.auth.PublishPolicy(asked)
		}) {
			return
		}
		revision, late = max(revision, ev.Revision), time.Since(asked) > 2*wait
		tries.Succeeded()
	}
}

// ApplyListing replaces what is known of the shared records.
func (wa *Watcher) ApplyListing(items []protocol.Item, revision uint64) {
	now := time.Now()
	machines, claims, policy := map[string]bool{}, map[string]bool{}, map[string]bool{}
	wa.ListedEnds = map[string]time.Time{}
	defer func() { wa.ListedEnds = nil }()
	// Final states go first, so that ended jobs are not taken up.
	for _, it := range items {
		if kind, id := storage.ParseKey(it.Key); kind == storage.KindFinal {
			wa.jobs.ApplyFinalRecord(id, it.Value)
		}
	}
	wa.leases.NoteMissedLeaders(now)
	wa.scheduler.ResetDoneCounts()
	for _, it := range items {
		switch kind, name := storage.ParseKey(it.Key); kind {
		case storage.KindJob:
			wa.scheduler.CountListedJob(name, it.Value)
		case storage.KindMachine:
			machines[name] = true
		case storage.KindLease, storage.KindLeadership:
			claims[it.Key] = true
		case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
			policy[it.Key] = true
		case storage.KindFinal:
			continue
		}
		wa.ApplyEvent(protocol.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	// What was written after the listing began is not in it, yet not gone.
	for name, m := range wa.Machines {
		if !machines[name] && m.Revision <= revision {
			wa.agents.MachineDeleted(name, now)
		}
	}
	for _, p := range wa.Partitions {
		if key := storage.LeaseKey(p.Index); !claims[key] && p.LeaseRevision != 0 {
			wa.ApplyEvent(protocol.Event{Delete: key, Version: revision})
		}
	}
	for _, p := range wa.Partitions {
		// A part that was never seen claimed is an orphan from now on, so that
		// its preferred owner has the time to start.
		if p.LeaseRevision == 0 && p.VacantSince.IsZero() {
			p.VacantSince = now
		}
	}
	if !claims[storage.LeadershipKey] {
		wa.ApplyEvent(protocol.Event{Delete: storage.LeadershipKey, Version: revision})
	}
	if wa.auth.Enabled() {
		wa.auth.DropUnlistedPolicy(policy)
	}
	if !wa.Synced {
		wa.Synced = true
		wa.log.Info("records read", "jobs", len(wa.Jobs), "final", len(wa.FinalStates), "machines", len(wa.Machines))
	}
}

func (wa *Watcher) ApplyEvent(e protocol.Event) {
	now := time.Now()
	key := e.Put + e.Delete
	kind, name := storage.ParseKey(key)
	switch kind {
	case storage.KindLease:
		for _, p := range wa.Partitions {
			if storage.LeaseKey(p.Index) == key {
				wa.leases.ApplyLease(p, e, now)
			}
		}
	case storage.KindLeadership:
		wa.autoscaler.ApplyLeadership(e, now)
	case storage.KindMachine:
		if e.Delete != "" {
			if m := wa.Machines[name]; m != nil && e.Version >= m.Revision {
				wa.agents.MachineDeleted(name, now)
			}
			return
		}
		var rec storage.Machine
		if err := storage.Decode(e.Value, &rec); err != nil || rec.Partition < 0 || rec.Partition >= len(wa.Partitions) {
			wa.log.Error("bad machine record", "machine", name, "reason", err)
			return
		}
		wa.agents.MachineRecorded(name, rec, e.Version, now)
	case storage.KindJob:
		if e.Delete == "" {
			wa.jobs.ApplyJobRecord(name, e.Value)
		}
	case storage.KindFinal:
		if e.Delete == "" {
			wa.jobs.ApplyFinalRecord(name, e.Value)
		}
	case storage.KindIncarnation:
		wa.leases.ApplyIncarnation(name, e)
	case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
		if wa.auth.Enabled() {
			if err := wa.auth.ApplyPolicyRecord(kind, name, e); err != nil {
				wa.log.Error("bad policy record", "key", key, "reason", err)
			}
		}
	case storage.KindCatalog:
		var cat protocol.Catalog
		if e.Delete == "" && storage.Decode(e.Value, &cat) == nil && len(wa.Catalog) == 0 {
			wa.SetCatalog(cat.Types)
		}
	}
}
