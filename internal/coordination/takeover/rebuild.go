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
	// catchUpTimeout is the time for which a new leader waits for the preconditions of a takeover
	// before it prepares the replica again. catchUpPollInterval is the time between two checks of
	// the preconditions.
	catchUpTimeout      = 2 * time.Second
	catchUpPollInterval = 10 * time.Millisecond
)

// rebuildBackoff is the pause between attempts to rebuild a partition, with jitter: 133 to 266 ms. It
// does not grow, since the request budget of the state store already limits the rate; docs/retries.md
// describes the effect of growing pauses on users.
var rebuildBackoff = retry.Backoff{First: 266 * time.Millisecond, Max: 266 * time.Millisecond}

// TakeOver rebuilds the state of a partition from the records of its former leader. It retries until
// the rebuild succeeds or the lease with this revision is lost. Later writes of the former leader fail,
// since they are conditional on the previous lease.
func (t *Takeover) TakeOver(p *cluster.Partition, revision uint64) {
	tries := t.loop.NewRetryCounter("rebuild "+strconv.Itoa(p.Index), rebuildBackoff)
	for t.holdsLease(p, revision) {
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

// holdsLease reports whether this controller holds the lease of a partition with this revision. It
// must not be called on the event loop.
func (t *Takeover) holdsLease(p *cluster.Partition, revision uint64) (held bool) {
	return t.loop.Do(func() { held = p.Held && p.LeaseRevision == revision }) && held
}

// rebuild prepares the partition's replica and installs it once all preconditions are met.
func (t *Takeover) rebuild(p *cluster.Partition, revision uint64) error {
	replica, warm, err := t.replicator.PrepareReplica(p, revision)
	if err != nil {
		return err
	}
	jobRecords := map[string]*protocol.Item{}
	for begun := time.Now(); ; {
		var result installResult
		t.loop.Do(func() { result = t.installIfComplete(p, revision, replica, jobRecords, warm) })
		switch {
		case len(result.unknownJobs) > 0:
			if err := t.readJobRecords(result.unknownJobs, jobRecords); err != nil {
				return err
			}
		case len(result.missing) > 0:
			if time.Since(begun) > catchUpTimeout || !t.loop.Sleep(catchUpPollInterval) {
				return fmt.Errorf("preconditions for installing the partition not met: missing %s", strings.Join(result.missing, ", "))
			}
		default:
			if result.withoutUpdates {
				t.replicator.RequestStateTransfer(p, revision)
			}
			return nil
		}
	}
}

// installResult is the result of one attempt to install a replica. The zero value means that nothing
// is left to do.
type installResult struct {
	// unknownJobs are the ids of jobs whose records must be read first.
	unknownJobs []string
	// missing lists the preconditions that are not met yet.
	missing []string
	// withoutUpdates is true if the replica was installed without updates from the former leader.
	withoutUpdates bool
}

// installIfComplete installs a replica if all preconditions are met. It must be called on the event
// loop.
func (t *Takeover) installIfComplete(p *cluster.Partition, revision uint64, replica *replication.Replica, jobRecords map[string]*protocol.Item, warm bool) installResult {
	if !p.Held || p.LeaseRevision != revision {
		return installResult{} // the lease was lost, so there is nothing to install
	}
	// Unknown jobs are determined in the same call on the event loop as the installation. Otherwise a
	// job that ends in between would be dropped, although its attempts use quota until they end.
	if unknown := replica.Derived.UnknownJobs(t.Jobs, jobRecords); len(unknown) > 0 {
		return installResult{unknownJobs: unknown}
	}
	if missing := t.UnmetPreconditions(p, revision, replica.Records.Revision()); len(missing) > 0 {
		return installResult{missing: missing}
	}
	t.Install(p, replica, jobRecords, warm)
	return installResult{withoutUpdates: replica.Updates.Acknowledged == 0}
}

// readJobRecords reads job records from the state store into jobRecords.
func (t *Takeover) readJobRecords(ids []string, jobRecords map[string]*protocol.Item) error {
	for _, id := range ids {
		item, err := t.store.Get(t.loop.Context(), storage.JobKey(id))
		if err != nil {
			return fmt.Errorf("reading the record of job %s: %w", id, err)
		}
		jobRecords[id] = item
	}
	return nil
}

// UnmetPreconditions lists the unmet preconditions of the first scheduling decision on a partition.
// runRecords is the revision up to which the partition's run records have been applied. The machine
// records and final records have been applied up to RecordsRevision. QuotasCounted is set, since the
// installation of the replica counts the quota usage.
func (t *Takeover) UnmetPreconditions(p *cluster.Partition, leaseRevision, runRecords uint64) []string {
	check := failover.TakeoverCheck{
		LeaseRevision: leaseRevision, NewestLease: p.LeaseRevision,
		SinceRenewal: time.Since(t.LeaseRenewedAt), TTL: t.Operator.LeaseTTL,
		RunRecords: runRecords, MachineRecords: t.RecordsRevision, FinalStates: t.RecordsRevision,
		QuotasCounted: true,
	}
	return check.Missing()
}
