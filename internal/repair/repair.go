// Package repair keeps the blobs of a front end intact and replicated: it verifies every
// blob at rest and checks that enough peers have a copy, in endless passes at a bounded
// rate. A pass resumes where it was after a restart. The package knows no protocol.
package repair

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
)

// Store is the front end's own store.
type Store interface {
	Keys() []blobstore.Key
	// Verify reads a blob's bytes. A corrupt blob is removed, and blobstore.ErrMismatch
	// returned.
	Verify(key blobstore.Key) error
}

// Peer is another front end.
type Peer interface {
	Name() string
	// Lacks returns the digests whose blobs the peer does not have. It does not retain the
	// others there.
	Lacks(ctx context.Context, space string, digests []blobstore.Digest) ([]blobstore.Digest, error)
	// Push copies a blob of this front end to the peer.
	Push(ctx context.Context, key blobstore.Key) error
}

// Restore fetches a blob that was found corrupt from any peer that has it.
type Restore func(ctx context.Context, key blobstore.Key) error

// Order returns the peers in the order in which they should hold a blob. It is the same on
// all front ends.
type Order func(hash string) []Peer

// Settings bound the repairer.
type Settings struct {
	// Copies is how many front ends should hold a blob, this one included.
	Copies int
	// BytesPerSecond bounds what is read and copied.
	BytesPerSecond float64
	// Every is the time between passes.
	Every time.Duration
	// Grace is how long a peer that does not answer counts as holding what it should: it
	// may only be restarting.
	Grace time.Duration
}

// Check validates the settings.
func (s *Settings) Check() error {
	switch {
	case s.Copies < 1:
		return errors.New("copies: must be at least 1")
	case !(s.BytesPerSecond > 0) || math.IsInf(s.BytesPerSecond, 0):
		return errors.New("bytes_per_second: must be above 0")
	case s.Every < time.Second:
		return errors.New("every: must be at least 1s")
	case s.Grace < 0:
		return errors.New("grace: must not be below 0")
	}
	return nil
}

// Progress is the state of a repairer.
type Progress struct {
	// Pass counts the passes begun; Done and Of are blobs of the current one.
	Pass, Done, Of int
	// Counts since the process started: blobs read, found corrupt, restored, and copied, and
	// blobs left with too few copies.
	Read, Corrupt, Restored, Copied, Short int64
	// Records counts the records that were sent to peers, most of which had them.
	Records int64
	// Gone are peers that have not answered for longer than the grace period.
	Gone []string
}

// Repairer repairs a store. Run or Pass may be called by one goroutine, Progress by any.
type Repairer struct {
	settings Settings
	file     string // of the cursor
	store    Store
	order    Order
	restore  Restore
	log      *slog.Logger
	rate     *admission.Queue
	// Records, if set, copies small records to peers after each pass; take waits until so
	// many bytes may be moved.
	Records func(ctx context.Context, take func(context.Context, int64) error) (copied int, err error)

	mu       sync.Mutex
	progress Progress
	silent   map[string]time.Time // since when a peer has not answered
}

// New creates a repairer; file is where it stores its cursor.
func New(settings Settings, file string, store Store, order Order, restore Restore, log *slog.Logger) (*Repairer, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Repairer{
		settings: settings,
		file:     file,
		store:    store,
		order:    order,
		restore:  restore,
		log:      log,
		rate:     admission.New(admission.Limits{PerSecond: settings.BytesPerSecond, MaxWaiting: 1}),
		silent:   map[string]time.Time{},
	}, nil
}

// batchSize bounds the blobs that peers are asked about in one call.
const batchSize = 500

// Run makes passes until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	for {
		started := time.Now()
		err := r.Pass(ctx)
		if ctx.Err() != nil {
			return
		}
		progress := r.Progress()
		if err != nil {
			r.log.Warn("repair pass interrupted", "error", err, "done", progress.Done, "of", progress.Of)
		} else {
			r.log.Info("repair pass done", "count", progress.Of, "elapsed", time.Since(started).Round(time.Millisecond), "corrupt", progress.Corrupt,
				"restored", progress.Restored, "copied", progress.Copied, "short", progress.Short, "gone", progress.Gone)
		}
		select {
		case <-time.After(r.settings.Every):
		case <-ctx.Done():
			return
		}
	}
}

// Progress returns the state of the repairer.
func (r *Repairer) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := r.progress
	progress.Gone = r.gonePeers(time.Now())
	return progress
}

// gonePeers returns the peers that have been silent for the grace period. r.mu is held.
func (r *Repairer) gonePeers(now time.Time) []string {
	var gone []string
	for name, since := range r.silent {
		if now.Sub(since) >= r.settings.Grace {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// count updates the progress.
func (r *Repairer) count(update func(*Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.progress)
}

// Pass works through all blobs once, starting where the last pass was interrupted.
func (r *Repairer) Pass(ctx context.Context) error {
	keys := r.store.Keys()
	slices.SortFunc(keys, compareKeys)
	done := r.resumeIndex(keys)
	r.count(func(p *Progress) { p.Pass++; p.Done, p.Of = done, len(keys) })
	for done < len(keys) {
		// A batch holds blobs of one space: peers are asked space by space.
		end := done + 1
		for end < len(keys) && end-done < batchSize && keys[end].Space == keys[done].Space {
			end++
		}
		if err := r.repairBatch(ctx, keys[done:end]); err != nil {
			return err
		}
		done = end
		r.count(func(p *Progress) { p.Done = done })
		if err := r.saveCursor(keys[done-1]); err != nil {
			return err
		}
	}
	if r.Records != nil {
		copied, err := r.Records(ctx, r.take)
		r.count(func(p *Progress) { p.Records += int64(copied) })
		if err != nil {
			return err
		}
	}
	return r.removeCursor()
}

// repairBatch verifies some blobs of one space and makes their missing copies.
func (r *Repairer) repairBatch(ctx context.Context, keys []blobstore.Key) error {
	var intact []blobstore.Key
	for _, key := range keys {
		if err := r.take(ctx, key.Size); err != nil {
			return err
		}
		err := r.store.Verify(key)
		switch {
		case err == nil:
			intact = append(intact, key)
			r.count(func(p *Progress) { p.Read++ })
		case errors.Is(err, blobstore.ErrNotFound): // evicted meanwhile
		case errors.Is(err, blobstore.ErrMismatch):
			if r.restoreCorrupt(ctx, key) {
				intact = append(intact, key)
			}
		default:
			return fmt.Errorf("read %s: %w", key.Digest, err)
		}
	}
	if r.settings.Copies < 2 || len(intact) == 0 {
		return nil
	}
	return r.makeCopies(ctx, intact)
}

// restoreCorrupt restores a corrupt blob from a peer and reports whether it could.
func (r *Repairer) restoreCorrupt(ctx context.Context, key blobstore.Key) bool {
	r.count(func(p *Progress) { p.Corrupt++ })
	if err := r.restore(ctx, key); err != nil {
		r.log.Error("blob corrupt", "space", key.Space, "blob", key.Digest.String(), "brought_back", false, "error", err)
		return false
	}
	r.log.Warn("blob corrupt", "space", key.Space, "blob", key.Digest.String(), "brought_back", true)
	r.count(func(p *Progress) { p.Restored++ })
	return true
}

// take waits until so many bytes may be moved.
func (r *Repairer) take(ctx context.Context, bytes int64) error {
	leave, err := r.rate.Enter(ctx, "", "", float64(bytes))
	if err != nil {
		return err
	}
	leave()
	return nil
}
