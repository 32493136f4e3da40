// Package repair keeps what a gate holds whole: it reads every blob at rest again
// and sees that enough other gates have a copy, at a bounded pace, over and over.
// A pass goes on where it was after a restart. It knows keys and other gates only
// by what it can ask of them, and no protocol.
package repair

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
)

// Store is the gate's own blobs.
type Store interface {
	Keys() []blobstore.Key
	// Verify reads a blob's bytes. One that is not what it should be is removed.
	Verify(k blobstore.Key) error
}

// Gate is another gate.
type Gate interface {
	Name() string
	// Lacks says which blobs of a space the gate does not have; asking promises
	// nothing.
	Lacks(ctx context.Context, space string, digests []blobstore.Digest) ([]blobstore.Digest, error)
	// Push copies a blob of this gate to it.
	Push(ctx context.Context, k blobstore.Key) error
}

// Source brings back a blob that was found corrupt, from whichever gate has it.
type Source func(ctx context.Context, k blobstore.Key) error

// Order puts the other gates in the order in which they should hold a blob; it is
// the same on all gates.
type Order func(hash string) []Gate

// Settings bound what repair takes.
type Settings struct {
	// Copies is how many gates should hold a blob, this one among them.
	Copies int
	// BytesPerSecond is read and copied, at most.
	BytesPerSecond float64
	// Every is how long it rests between passes.
	Every time.Duration
	// Grace is how long a gate that does not answer counts as holding what it
	// should: it may only be restarting.
	Grace time.Duration
}

// Check says what must be mended.
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

// Progress says how a pass stands.
type Progress struct {
	// Pass counts the passes that were begun, Done and Of the blobs of this one.
	Pass, Done, Of int
	// Since the beginning: blobs that were read, found corrupt, brought back and
	// copied, and copies that could not be made.
	Read, Corrupt, Restored, Copied, Short int64
	// Records were told to other gates, most of which knew them.
	Records int64
	// Gone are gates that have not answered for longer than the grace.
	Gone []string
}

// Repairer works through a store.
type Repairer struct {
	settings Settings
	file     string
	store    Store
	order    Order
	source   Source
	log      *slog.Logger
	pace     *admission.Queue
	// Records, if there is such a thing, sees to the copies of small records after
	// each pass; take waits until so much may be moved.
	Records func(ctx context.Context, take func(context.Context, int64) error) (copied int, err error)

	mu       sync.Mutex
	progress Progress
	silent   map[string]time.Time // since when a gate has not answered
}

// New makes one; file is where it notes how far it is.
func New(settings Settings, file string, store Store, order Order, source Source, log *slog.Logger) (*Repairer, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Repairer{settings: settings, file: file, store: store, order: order, source: source, log: log,
		pace: admission.New(admission.Limits{PerSecond: settings.BytesPerSecond, MaxWaiting: 1}), silent: map[string]time.Time{}}, nil
}

// batch is how many blobs other gates are asked about at a time.
const batch = 500

// cursor is how far a pass has come, as it is kept.
type cursor struct {
	Space string `json:"space"`
	Hash  string `json:"hash"`
	// Function is what the digest is computed with.
	Function blobstore.Function `json:"function,omitempty"`
	Size     int64              `json:"size"`
}

func compare(a, b blobstore.Key) int {
	return cmp.Or(cmp.Compare(a.Space, b.Space), cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Function, b.Function))
}

// Run makes passes until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	for {
		begun := time.Now()
		err := r.Pass(ctx)
		if ctx.Err() != nil {
			return
		}
		p := r.Progress()
		if err != nil {
			r.log.Warn("repair stopped short", "reason", err, "done", p.Done, "of", p.Of)
		} else {
			r.log.Info("repair pass done", "blobs", p.Of, "took", time.Since(begun).Round(time.Millisecond), "corrupt", p.Corrupt,
				"restored", p.Restored, "copied", p.Copied, "short", p.Short, "gone", p.Gone)
		}
		select {
		case <-time.After(r.settings.Every):
		case <-ctx.Done():
			return
		}
	}
}

// Progress says how it stands.
func (r *Repairer) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress
	p.Gone = r.gone(time.Now())
	return p
}

func (r *Repairer) gone(now time.Time) []string {
	var out []string
	for name, since := range r.silent {
		if now.Sub(since) >= r.settings.Grace {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (r *Repairer) count(f func(*Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.progress)
}

// Pass works through all blobs once, from where the last one stopped short.
func (r *Repairer) Pass(ctx context.Context) error {
	keys := r.store.Keys()
	slices.SortFunc(keys, compare)
	done := 0
	if at, err := r.resume(); err != nil {
		r.log.Warn("repair begins anew", "reason", err)
	} else if at != nil {
		done, _ = slices.BinarySearchFunc(keys, *at, compare)
		if done < len(keys) && keys[done] == *at {
			done++
		}
	}
	r.count(func(p *Progress) { p.Pass++; p.Done, p.Of = done, len(keys) })
	for done < len(keys) {
		// A batch is of one space, since others are asked space by space.
		end := done + 1
		for end < len(keys) && end-done < batch && keys[end].Space == keys[done].Space {
			end++
		}
		if err := r.batch(ctx, keys[done:end]); err != nil {
			return err
		}
		done = end
		r.count(func(p *Progress) { p.Done = done })
		last := keys[done-1]
		if err := r.note(&cursor{Space: last.Space, Hash: last.Hash, Size: last.Size, Function: last.Function}); err != nil {
			return err
		}
	}
	if r.Records != nil {
		n, err := r.Records(ctx, r.take)
		r.count(func(p *Progress) { p.Records += int64(n) })
		if err != nil {
			return err
		}
	}
	return r.note(nil)
}

// batch reads some blobs and sees to their copies.
func (r *Repairer) batch(ctx context.Context, keys []blobstore.Key) error {
	var whole []blobstore.Key
	for _, k := range keys {
		if err := r.take(ctx, k.Size); err != nil {
			return err
		}
		err := r.store.Verify(k)
		switch {
		case err == nil:
			whole = append(whole, k)
			r.count(func(p *Progress) { p.Read++ })
		case errors.Is(err, blobstore.ErrNotFound): // evicted meanwhile
		case errors.Is(err, blobstore.ErrMismatch):
			r.count(func(p *Progress) { p.Corrupt++ })
			if serr := r.source(ctx, k); serr != nil {
				r.log.Error("blob corrupt", "space", k.Space, "blob", k.Digest.String(), "brought_back", false, "reason", serr)
				continue
			}
			r.log.Warn("blob corrupt", "space", k.Space, "blob", k.Digest.String(), "brought_back", true)
			r.count(func(p *Progress) { p.Restored++ })
			whole = append(whole, k)
		default:
			return fmt.Errorf("read %s: %w", k.Digest, err)
		}
	}
	if r.settings.Copies < 2 || len(whole) == 0 {
		return nil
	}
	return r.copies(ctx, whole)
}

// Has says how a gate stands to a blob.
type Has int

// A gate has a blob, lacks it, or does not answer: for a short while it may
// only be restarting, later it is gone.
const (
	Holds Has = iota
	Lacks
	Silent
	Gone
)

// Plan says which gates of an order should get a copy, so that with this gate so
// many hold the blob. Those that are silent count as holding it where it should
// lie with them; that is with the first of the order that are not gone.
func Plan(order []Has, copies int) (targets []int, short int) {
	have, place := 1, 1
	for _, h := range order {
		switch h {
		case Holds:
			have++
		case Silent:
			if place < copies {
				have++
			}
		}
		if h != Gone {
			place++
		}
	}
	for i, h := range order {
		if have >= copies {
			break
		}
		if h == Lacks {
			targets = append(targets, i)
			have++
		}
	}
	return targets, max(0, copies-have)
}

// copies sees that enough gates hold some blobs of one space.
func (r *Repairer) copies(ctx context.Context, keys []blobstore.Key) error {
	digests := make([]blobstore.Digest, len(keys))
	for i, k := range keys {
		digests[i] = k.Digest
	}
	// What each gate lacks; nil: it does not answer.
	lacks := map[string]map[blobstore.Digest]bool{}
	for _, g := range r.order(keys[0].Hash) {
		missing, err := g.Lacks(ctx, keys[0].Space, digests)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		r.mu.Lock()
		if err != nil {
			if _, ok := r.silent[g.Name()]; !ok {
				r.silent[g.Name()] = time.Now()
			}
		} else {
			delete(r.silent, g.Name())
			set := map[blobstore.Digest]bool{}
			for _, d := range missing {
				set[d] = true
			}
			lacks[g.Name()] = set
		}
		r.mu.Unlock()
	}
	for _, k := range keys {
		order := r.order(k.Hash)
		r.mu.Lock()
		gone := r.gone(time.Now())
		r.mu.Unlock()
		stands := make([]Has, len(order))
		for i, g := range order {
			set, answered := lacks[g.Name()]
			switch {
			case answered && set[k.Digest]:
				stands[i] = Lacks
			case answered:
				stands[i] = Holds
			case slices.Contains(gone, g.Name()):
				stands[i] = Gone
			default:
				stands[i] = Silent
			}
		}
		for {
			targets, short := Plan(stands, r.settings.Copies)
			if len(targets) == 0 {
				if short > 0 {
					r.count(func(p *Progress) { p.Short++ })
				}
				break
			}
			if err := r.take(ctx, k.Size); err != nil {
				return err
			}
			at := targets[0]
			err := order[at].Push(ctx, k)
			switch {
			case err == nil:
				stands[at] = Holds
				r.count(func(p *Progress) { p.Copied++ })
			case ctx.Err() != nil:
				return context.Cause(ctx)
			default: // full, or gone just now: the next one
				r.log.Debug("blob not copied", "gate", order[at].Name(), "blob", k.Digest.String(), "reason", err)
				stands[at] = Gone
			}
		}
	}
	return nil
}

// take waits until so much may be moved.
func (r *Repairer) take(ctx context.Context, bytes int64) error {
	leave, err := r.pace.Enter(ctx, "", "", float64(bytes))
	if err != nil {
		return err
	}
	leave()
	return nil
}

func (r *Repairer) resume() (*blobstore.Key, error) {
	raw, err := os.ReadFile(r.file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var c cursor
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", r.file, err)
	}
	return &blobstore.Key{Space: c.Space, Digest: blobstore.Digest{Hash: c.Hash, Size: c.Size, Function: c.Function}}, nil
}

// note keeps how far the pass is; nil: it is done. It may be lost: then a part of
// the pass is made again.
func (r *Repairer) note(c *cursor) error {
	if c == nil {
		if err := os.Remove(r.file); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	temp := filepath.Join(filepath.Dir(r.file), "."+filepath.Base(r.file))
	if err := os.WriteFile(temp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, r.file)
}
