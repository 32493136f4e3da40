// Package repair scrubs the blobs of a front end: in repeated passes at a bounded rate it verifies
// every stored blob, restores corrupt ones and copies blobs to peers if there are too few copies.
// After a restart it resumes an interrupted pass. The package is independent of any protocol.
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

// Store is the blob store of this front end.
type Store interface {
	Keys() []blobstore.Key
	// Verify compares a blob's bytes with its digest. It removes a corrupt blob and returns
	// blobstore.ErrMismatch.
	Verify(key blobstore.Key) error
}

// Peer is another front end, which may hold copies of this one's blobs.
type Peer interface {
	Name() string
	// FindMissing returns the digests whose blobs the peer does not have. The request does not
	// extend the lifetime of the blobs that the peer has.
	FindMissing(ctx context.Context, space string, digests []blobstore.Digest) ([]blobstore.Digest, error)
	// Push copies a blob of this front end to the peer.
	Push(ctx context.Context, key blobstore.Key) error
}

// Restore fetches a corrupt blob from any peer that has it.
type Restore func(ctx context.Context, key blobstore.Key) error

// PeerOrder returns the peers in the order in which they should hold a blob. It is the same on
// all front ends.
type PeerOrder func(hash string) []Peer

// Settings configure a Repairer.
type Settings struct {
	// Copies is the number of front ends that should hold a blob, including this one.
	Copies int
	// BytesPerSecond bounds the rate at which blobs are read and copied.
	BytesPerSecond float64
	// Interval is the pause between passes.
	Interval time.Duration
	// Grace is the time for which an unresponsive peer, which may only be restarting, counts as
	// holding the blobs that it should hold.
	Grace time.Duration
}

// Check validates the settings.
func (s *Settings) Check() error {
	switch {
	case s.Copies < 1:
		return errors.New("copies: must be at least 1")
	case !(s.BytesPerSecond > 0) || math.IsInf(s.BytesPerSecond, 0):
		return errors.New("bytes_per_second: must be above 0")
	case s.Interval < time.Second:
		return errors.New("every: must be at least 1s")
	case s.Grace < 0:
		return errors.New("grace: must not be below 0")
	}
	return nil
}

// Progress is the progress of a Repairer's current pass, with counts over all passes.
type Progress struct {
	// Pass is the number of passes begun, Done the number of blobs that the current pass has
	// processed, and Total the number of its blobs.
	Pass, Done, Total int
	// Counts since the process started: blobs found intact, blobs found corrupt, corrupt blobs
	// restored, copies made, and blobs left with too few copies.
	Verified, Corrupt, Restored, Copied, UnderReplicated int64
	// RecordsSent counts the records sent to peers, including those that the peers had already.
	RecordsSent int64
	// Gone are the peers that have not answered for longer than the grace period.
	Gone []string
}

// Repairer repairs the blobs of a store. Only one goroutine at a time may call Run or Pass; any
// may call Progress.
type Repairer struct {
	settings   Settings
	cursorFile string
	store      Store
	order      PeerOrder
	restore    Restore
	log        *slog.Logger
	rate       *admission.Queue
	// CopyRecords, if set, copies small records to peers after each pass. Before each transfer it
	// must call throttle with the number of bytes.
	CopyRecords func(ctx context.Context, throttle func(context.Context, int64) error) (copied int, err error)

	mu                sync.Mutex
	progress          Progress
	unresponsiveSince map[string]time.Time // by name of the peer
}

// New creates a repairer that stores its position in file.
func New(settings Settings, file string, store Store, order PeerOrder, restore Restore, log *slog.Logger) (*Repairer, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Repairer{
		settings:          settings,
		cursorFile:        file,
		store:             store,
		order:             order,
		restore:           restore,
		log:               log,
		rate:              admission.New(admission.Limits{PerSecond: settings.BytesPerSecond, MaxWaiting: 1}),
		unresponsiveSince: map[string]time.Time{},
	}, nil
}

// maxBatchSize is the maximum number of blobs in one request to a peer.
const maxBatchSize = 500

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
			r.log.Warn("repair pass interrupted", "error", err, "done", progress.Done, "of", progress.Total)
		} else {
			r.log.Info("repair pass done", "count", progress.Total, "elapsed", time.Since(started).Round(time.Millisecond), "corrupt", progress.Corrupt,
				"restored", progress.Restored, "copied", progress.Copied, "short", progress.UnderReplicated, "gone", progress.Gone)
		}
		select {
		case <-time.After(r.settings.Interval):
		case <-ctx.Done():
			return
		}
	}
}

// Progress returns the progress of the repairer.
func (r *Repairer) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := r.progress
	progress.Gone = r.gonePeers(time.Now())
	return progress
}

// gonePeers returns the peers that have not answered for the grace period. The caller holds r.mu.
func (r *Repairer) gonePeers(now time.Time) []string {
	var gone []string
	for name, since := range r.unresponsiveSince {
		if now.Sub(since) >= r.settings.Grace {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// updateProgress applies an update to the progress.
func (r *Repairer) updateProgress(update func(*Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.progress)
}

// Pass processes all blobs once, or resumes an interrupted pass.
func (r *Repairer) Pass(ctx context.Context) error {
	keys := r.store.Keys()
	slices.SortFunc(keys, compareKeys)
	done := r.resumeIndex(keys)
	r.updateProgress(func(p *Progress) { p.Pass++; p.Done, p.Total = done, len(keys) })
	for done < len(keys) {
		// A batch holds blobs of one space, since a request to a peer is limited to one space.
		end := done + 1
		for end < len(keys) && end-done < maxBatchSize && keys[end].Space == keys[done].Space {
			end++
		}
		if err := r.repairBatch(ctx, keys[done:end]); err != nil {
			return err
		}
		done = end
		r.updateProgress(func(p *Progress) { p.Done = done })
		if err := r.saveCursor(keys[done-1]); err != nil {
			return err
		}
	}
	if r.CopyRecords != nil {
		copied, err := r.CopyRecords(ctx, r.throttle)
		r.updateProgress(func(p *Progress) { p.RecordsSent += int64(copied) })
		if err != nil {
			return err
		}
	}
	return r.removeCursor()
}

// repairBatch verifies blobs of one space and makes their missing copies.
func (r *Repairer) repairBatch(ctx context.Context, keys []blobstore.Key) error {
	var intact []blobstore.Key
	for _, key := range keys {
		if err := r.throttle(ctx, key.Size); err != nil {
			return err
		}
		err := r.store.Verify(key)
		switch {
		case err == nil:
			intact = append(intact, key)
			r.updateProgress(func(p *Progress) { p.Verified++ })
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

// restoreCorrupt restores a corrupt blob from a peer and reports whether that succeeded.
func (r *Repairer) restoreCorrupt(ctx context.Context, key blobstore.Key) bool {
	r.updateProgress(func(p *Progress) { p.Corrupt++ })
	if err := r.restore(ctx, key); err != nil {
		r.log.Error("blob corrupt", "space", key.Space, "blob", key.Digest.String(), "brought_back", false, "error", err)
		return false
	}
	r.log.Warn("blob corrupt", "space", key.Space, "blob", key.Digest.String(), "brought_back", true)
	r.updateProgress(func(p *Progress) { p.Restored++ })
	return true
}

// throttle waits until the rate allows reading or copying that many bytes.
func (r *Repairer) throttle(ctx context.Context, bytes int64) error {
	release, err := r.rate.Acquire(ctx, "", "", float64(bytes))
	if err != nil {
		return err
	}
	release()
	return nil
}
