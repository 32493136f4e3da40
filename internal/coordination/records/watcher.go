// Package records follows the shared records of the state store, by a listing and the changes
// after it, and hands each to the component that owns what it says.
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
	// watchOutagePatience is how long a watch may go on through an outage: after one that is
	// given up everything is listed.
	watchOutagePatience = 12 * time.Second
	// watchesPerLease is how often the state store is watched anew within the TTL of a lease,
	// which is as often as the lease is renewed.
	watchesPerLease = 3
)

// watchBackoff is the pause after a failed listing or watch. It is spread and does not grow:
// the state store's budget makes tasks wait already, and docs/retries.md says what growing
// pauses cost users.
var watchBackoff = retry.Backoff{First: 266 * time.Millisecond, Max: 266 * time.Millisecond}

// Watcher follows the shared records and hands each to the component that owns what it says.
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

// New makes a watcher without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Watcher {
	return &Watcher{State: state, loop: loop, store: store, log: log}
}

// Connect sets the collaborators, before the loop starts.
func (w *Watcher) Connect(agents Agents, auth Auth, autoscaler Autoscaler, jobs Jobs, leases Leases, scheduler Scheduler) {
	w.agents, w.auth, w.autoscaler, w.jobs, w.leases, w.scheduler = agents, auth, autoscaler, jobs, leases, scheduler
}

// errLoopEnded says that the event loop takes no calls any more.
var errLoopEnded = errors.New("event loop ended")

// cursor is how far Watch has come.
type cursor struct {
	// revision is that up to which all changes were applied; 0: everything is to be listed.
	revision uint64
	// late: the last watch was answered late.
	late bool
	// wait is how long a watch waits for a change, patience how long it may go on beyond
	// that, through an outage.
	wait, patience time.Duration
}

// Watch follows the shared records until the loop's context ends: a listing, then the changes
// from there.
func (w *Watcher) Watch() {
	tries := w.loop.Tries("watch", watchBackoff)
	at := w.newCursor()
	for {
		err := w.follow(&at)
		if err == nil {
			tries.Succeeded()
			continue
		}
		if w.loop.Context().Err() != nil || errors.Is(err, errLoopEnded) {
			return
		}
		w.log.Debug("watching records failed", "error", err)
		if !w.loop.Sleep(tries.Failed()) {
			return
		}
	}
}

// newCursor is a cursor before everything. Watches are requested as often as the lease is
// renewed: the older of the two bounds until when heartbeats are answered (rule 42).
func (w *Watcher) newCursor() cursor {
	at := cursor{wait: w.Operator.LeaseTTL / watchesPerLease, patience: watchOutagePatience}
	if w.auth.Enabled() {
		at.wait, at.patience = min(at.wait, auth.PolicyWatchWait), storage.ChangeTimeout
	}
	return at
}

// follow applies the changes after the cursor, and a listing before them where one is due.
func (w *Watcher) follow(at *cursor) error {
	if at.revision == 0 {
		if err := w.list(at); err != nil {
			return fmt.Errorf("listing: %w", err)
		}
	}
	if err := w.watchChanges(at); err != nil {
		// A watch that ended without an answer, or that answers 410, may have missed
		// changes; a fresh listing never does (rule 4).
		at.revision = 0
		return fmt.Errorf("watch: %w", err)
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
	if at.late {
		wait = 0 // what was requested long ago, before an outage perhaps, informs of little
	}
	changes, err := w.store.Watch(w.loop.Context(), storage.WatchPrefix, at.revision, wait, at.patience)
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
	at.late = time.Since(requestedAt) > 2*at.wait
	return nil
}
