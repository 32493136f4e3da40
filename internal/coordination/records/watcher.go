// Package records watches the shared records in the state store: it lists them, then watches for
// changes, and passes each record to the component that owns its kind.
package records

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/retry"
	"micaspindle/internal/storage"
)

const (
	// watchOutageTimeout is the time for which a watch request stays open during an outage, in
	// addition to its wait time. After a watch that timed out, all records are listed again.
	watchOutageTimeout = 12 * time.Second
	// watchesPerLeaseTTL is the number of watch requests per lease TTL, which equals the number of
	// lease renewals.
	watchesPerLeaseTTL = 3
)

// watchBackoff is the pause after a failed listing or watch, with jitter. It does not grow, since the
// request budget of the state store already limits the rate; docs/retries.md describes the effect
// of growing pauses on users.
var watchBackoff = retry.Backoff{First: 266 * time.Millisecond, Max: 266 * time.Millisecond}

// Watcher watches the shared records and passes each to the component that owns its kind.
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

// New creates a watcher. Connect must be called before the watcher is used.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Watcher {
	return &Watcher{State: state, loop: loop, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the event loop starts.
func (w *Watcher) Connect(agents Agents, auth Auth, autoscaler Autoscaler, jobs Jobs, leases Leases, scheduler Scheduler) {
	w.agents, w.auth, w.autoscaler, w.jobs, w.leases, w.scheduler = agents, auth, autoscaler, jobs, leases, scheduler
}

// errLoopEnded means that the event loop no longer accepts calls.
var errLoopEnded = errors.New("event loop ended")

// cursor is the progress of Watch.
type cursor struct {
	// revision is the revision up to which all changes were applied; 0 if all records are to be
	// listed.
	revision uint64
	// lastAnswerLate is true if the last watch took more than twice its wait time.
	lastAnswerLate bool
	// wait is the time for which a watch waits for a change. extraTimeout is the additional time
	// until its response times out, for example during an outage.
	wait, extraTimeout time.Duration
}

// Watch lists the shared records and then watches for changes, until the event loop's context ends.
func (w *Watcher) Watch() {
	tries := w.loop.NewRetryCounter("watch", watchBackoff)
	at := w.newCursor()
	for {
		err := w.syncOnce(&at)
		if err == nil {
			tries.Succeeded()
			continue
		}
		if w.loop.Context().Err() != nil || errors.Is(err, errLoopEnded) {
			return
		}
		w.log.Debug("watching shared records failed", "error", err)
		if !w.loop.Sleep(tries.Failed()) {
			return
		}
	}
}

// newCursor returns the initial cursor. Watches are requested as often as the lease is renewed, since
// the time until which heartbeats may be answered depends on the earlier of the last watch and the
// last renewal (rule 42).
func (w *Watcher) newCursor() cursor {
	at := cursor{wait: w.Operator.LeaseTTL / watchesPerLeaseTTL, extraTimeout: watchOutageTimeout}
	if w.auth.Enabled() {
		at.wait, at.extraTimeout = min(at.wait, auth.PolicyWatchTimeout), storage.ImmediateWatchTimeout
	}
	return at
}

// syncOnce lists the records if a listing is due, then waits for the next changes and applies them.
func (w *Watcher) syncOnce(at *cursor) error {
	if at.revision == 0 {
		if err := w.list(at); err != nil {
			return fmt.Errorf("listing shared records: %w", err)
		}
	}
	if err := w.watchChanges(at); err != nil {
		// Changes may be lost after a watch that failed or that returned status 410 (Gone). A new
		// listing includes them (rule 4).
		at.revision = 0
		return fmt.Errorf("watching shared records for changes: %w", err)
	}
	return nil
}

// list applies a listing of all shared records.
func (w *Watcher) list(at *cursor) error {
	requestedAt := time.Now()
	items, revision, err := w.store.List(w.loop.Context(), storage.WatchPrefix)
	if err != nil {
		return err
	}
	applied := w.loop.Do(func() {
		w.ApplyListing(items, revision)
		w.RecordsCurrentAt, w.RecordsRevision = requestedAt, revision
		w.auth.PublishPolicy(requestedAt)
	})
	if !applied {
		return errLoopEnded
	}
	at.revision = revision
	return nil
}

// watchChanges waits for changes after the cursor and applies them.
func (w *Watcher) watchChanges(at *cursor) error {
	requestedAt := time.Now()
	wait := at.wait
	if at.lastAnswerLate {
		wait = 0 // return at once, since the records are only as current as the last, slow request
	}
	changes, err := w.store.Watch(w.loop.Context(), storage.WatchPrefix, at.revision, wait, at.extraTimeout)
	if err != nil {
		return err
	}
	applied := w.loop.Do(func() {
		for _, event := range changes.Events {
			w.ApplyEvent(event)
		}
		w.RecordsCurrentAt, w.RecordsRevision = requestedAt, max(w.RecordsRevision, changes.Revision)
		w.auth.PublishPolicy(requestedAt)
	})
	if !applied {
		return errLoopEnded
	}
	at.revision = max(at.revision, changes.Revision)
	at.lastAnswerLate = time.Since(requestedAt) > 2*at.wait
	return nil
}
