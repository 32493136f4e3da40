package takeover

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
	"micaspindle/internal/storage"
)

const (
	// catchUpTimeout is how long a new leader waits for missing evidence before it completes the
	// replica anew, catchUpPollInterval how often it looks.
	catchUpTimeout      = 2 * time.Second
	catchUpPollInterval = 10 * time.Millisecond
)

// rebuildBackoff spreads the pauses between attempts to rebuild a partition from 133 to 266 ms. They
// don't grow: the budget of the state store makes tasks wait already, and growing pauses cost users
// what docs/retries.md says.
var rebuildBackoff = retry.Backoff{First: 266 * time.Millisecond, Max: 266 * time.Millisecond}

// TakeOver rebuilds the state of a partition from what its former leader recorded, until that
// succeeds or the lease of this revision is lost. What the former leader still writes fails
// from now on, since it is conditional on the lease before.
func (t *Takeover) TakeOver(p *cluster.Partition, revision uint64) {
	tries := t.loop.Tries("rebuild "+strconv.Itoa(p.Index), rebuildBackoff)
	for t.holds(p, revision) {
		err := t.rebuild(p, revision)
		if err == nil {
			return
		}
		t.log.Info("partition rebuild failed", "partition", p.Index, "error", err)
		if !t.loop.Sleep(tries.Failed()) {
			return
		}
	}
}

// holds says whether this controller holds the lease of a partition, at this revision. It must
// not be called on the loop.
func (t *Takeover) holds(p *cluster.Partition, revision uint64) (held bool) {
	return t.loop.Do(func() { held = p.Held && p.LeaseRevision == revision }) && held
}

// rebuild completes the partition's replica and installs it as soon as all evidence is there.
func (t *Takeover) rebuild(p *cluster.Partition, revision uint64) error {
	replica, warm, err := t.replicator.CompleteReplica(p, revision)
	if err != nil {
		return err
	}
	specs := map[string]*protocol.Item{}
	for begun := time.Now(); ; {
		var outcome installation
		t.loop.Do(func() { outcome = t.installIfComplete(p, revision, replica, specs, warm) })
		switch {
		case len(outcome.unknownJobs) > 0:
			if err := t.readJobRecords(outcome.unknownJobs, specs); err != nil {
				return err
			}
		case len(outcome.missing) > 0:
			if time.Since(begun) > catchUpTimeout || !t.loop.Sleep(catchUpPollInterval) {
				return fmt.Errorf("partition not installed: missing %s", strings.Join(outcome.missing, ", "))
			}
		default:
			if outcome.withoutUpdates {
				t.replicator.RequestStateTransfer(p, revision)
			}
			return nil
		}
	}
}

// installation is the outcome of one attempt to install a replica. Its zero value says that
// nothing is left to do.
type installation struct {
	// unknownJobs are jobs whose records must be read first.
	unknownJobs []string
	// missing is the evidence that has not come yet.
	missing []string
	// withoutUpdates: it was installed, but the former leader had sent no updates.
	withoutUpdates bool
}

// installIfComplete installs a replica if nothing is missing. It runs on the loop.
func (t *Takeover) installIfComplete(p *cluster.Partition, revision uint64, replica *replication.Replica, specs map[string]*protocol.Item, warm bool) installation {
	if !p.Held || p.LeaseRevision != revision {
		return installation{} // lost meanwhile: nothing to wait for
	}
	// Asked in the same turn as the rest: a job that ends meanwhile is not known any more, yet
	// its attempts hold their team's quota until they are over.
	if unknown := replica.Derived.UnknownJobs(t.Jobs, specs); len(unknown) > 0 {
		return installation{unknownJobs: unknown}
	}
	if missing := t.MissingEvidence(p, revision, replica.Records.Revision()); len(missing) > 0 {
		return installation{missing: missing}
	}
	t.Install(p, replica, specs, warm)
	return installation{withoutUpdates: replica.Updates.Acknowledged == 0}
}

// readJobRecords reads the records of jobs from the state store.
func (t *Takeover) readJobRecords(ids []string, specs map[string]*protocol.Item) error {
	for _, id := range ids {
		item, err := t.store.Get(t.loop.Context(), storage.JobKey(id))
		if err != nil {
			return fmt.Errorf("record of job %s: %w", id, err)
		}
		specs[id] = item
	}
	return nil
}

// MissingEvidence says what is still missing before the first decision on a partition whose run
// records are known up to a revision. Machines and final states come with the watch, in order.
// Quotas are counted as the records are installed.
func (t *Takeover) MissingEvidence(p *cluster.Partition, leaseRevision, runRecords uint64) []string {
	check := failover.TakeoverCheck{
		LeaseRevision: leaseRevision, NewestLease: p.LeaseRevision,
		SinceRenewal: time.Since(t.LeaseRenewedAt), TTL: t.Operator.LeaseTTL,
		RunRecords: runRecords, MachineRecords: t.RecordsRevision, FinalStates: t.RecordsRevision,
		Counted: true,
	}
	return check.Missing()
}
