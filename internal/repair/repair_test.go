package repair

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/blobstore"
)

// world is a fake of a front end's store and of its peers.
type world struct {
	own   map[blobstore.Key]string // "", "corrupt" or "evicted"
	peers []*fakePeer
	read  int
	stop  func() // called after the given number of reads
	after int
}

type fakePeer struct {
	w      *world
	name   string
	has    map[blobstore.Key]bool
	down   bool
	full   bool
	pushed int
}

func (w *world) Keys() []blobstore.Key { return slices.Collect(maps.Keys(w.own)) }

func (w *world) Verify(k blobstore.Key) error {
	if w.read++; w.stop != nil && w.read == w.after {
		w.stop()
	}
	switch w.own[k] {
	case "corrupt":
		delete(w.own, k)
		return blobstore.ErrMismatch
	case "evicted":
		delete(w.own, k)
		return blobstore.ErrNotFound
	}
	return nil
}

func (p *fakePeer) Name() string { return p.name }

func (p *fakePeer) Lacks(_ context.Context, space string, digests []blobstore.Digest) (out []blobstore.Digest, err error) {
	if p.down {
		return nil, errors.New("down")
	}
	for _, d := range digests {
		if !p.has[blobstore.Key{Space: space, Digest: d}] {
			out = append(out, d)
		}
	}
	return out, nil
}

func (p *fakePeer) Push(_ context.Context, k blobstore.Key) error {
	if p.down || p.full {
		return errors.New("no")
	}
	p.has[k], p.pushed = true, p.pushed+1
	return nil
}

func key(i int) blobstore.Key {
	d := blobstore.Of(fmt.Append(nil, i))
	d.Size = 1000
	return blobstore.Key{Space: []string{"red", "blue"}[i%2], Digest: d}
}

// newWorld creates blobs with the given number of copies on the first peers in their order.
func newWorld(blobs, peers, copies int) *world {
	w := &world{own: map[blobstore.Key]string{}}
	for i := range peers {
		w.peers = append(w.peers, &fakePeer{w: w, name: fmt.Sprint("peer-", i), has: map[blobstore.Key]bool{}})
	}
	for i := range blobs {
		k := key(i)
		w.own[k] = ""
		for _, p := range w.order(k.Hash)[:copies-1] {
			p.(*fakePeer).has[k] = true
		}
	}
	return w
}

func (w *world) order(hash string) []Peer {
	var out []Peer
	for i := range w.peers {
		out = append(out, w.peers[(int(hash[0])+i)%len(w.peers)])
	}
	return out
}

func (w *world) restore(_ context.Context, k blobstore.Key) error {
	for _, p := range w.peers {
		if !p.down && p.has[k] {
			w.own[k] = ""
			return nil
		}
	}
	return blobstore.ErrNotFound
}

func (w *world) copies(k blobstore.Key) int {
	n := 1
	for _, p := range w.peers {
		if !p.down && p.has[k] {
			n++
		}
	}
	return n
}

func (w *world) repairer(t *testing.T, s Settings, file string) *Repairer {
	t.Helper()
	r, err := New(s, file, w, w.order, w.restore, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var fast = Settings{Copies: 2, BytesPerSecond: 1e9, Every: time.Minute, Grace: 2 * time.Minute}

// A peer that is down for a moment causes no copies. The blobs of one that is gone are
// copied to others, and nothing more is copied when it comes back.
func TestCopiesOfLostPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1500, 3, 2)
		r := w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		ctx := context.Background()
		pass := func() Progress {
			if err := r.Pass(ctx); err != nil {
				t.Fatal(err)
			}
			return r.Progress()
		}
		if p := pass(); p.Copied != 0 || p.Done != 1500 || p.Read != 1500 || len(p.Gone) != 0 {
			t.Errorf("nothing to do: %+v", p)
		}
		w.peers[1].down = true
		if p := pass(); p.Copied != 0 || len(p.Gone) != 0 {
			t.Errorf("a peer that is down for a moment: %+v", p)
		}
		time.Sleep(3 * time.Minute)
		p := pass()
		if p.Copied < 300 || p.Copied > 700 || !slices.Equal(p.Gone, []string{"peer-1"}) {
			t.Errorf("a peer that is gone: %+v", p)
		}
		for k := range w.own {
			if w.copies(k) < 2 {
				t.Fatalf("%s has %d copies", k.Digest, w.copies(k))
			}
		}
		w.peers[1].down = false
		if q := pass(); q.Copied != p.Copied || len(q.Gone) != 0 {
			t.Errorf("it came back: %+v", q)
		}
	})
}

// Corrupt blobs are found, and restored from a peer or counted.
func TestBlobsAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(100, 2, 2)
		w.own[key(3)], w.own[key(4)], w.own[key(5)] = "corrupt", "corrupt", "evicted"
		for _, p := range w.peers {
			delete(p.has, key(4))
		}
		r := w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Corrupt != 2 || p.Restored != 1 || p.Read != 97 || p.Copied != 0 {
			t.Errorf("%+v", p)
		}
		if _, ok := w.own[key(3)]; !ok {
			t.Error("it was not restored")
		}
	})
}

// A full peer is passed over for the next one; with none left the blob counts as short.
func TestFullPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(100, 3, 1)
		w.peers[0].full = true
		r := w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Copied != 100 || p.Short != 0 || w.peers[0].pushed != 0 {
			t.Errorf("%+v", p)
		}
		w = newWorld(100, 2, 1)
		w.peers[0].full, w.peers[1].full = true, true
		r = w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Copied != 0 || p.Short != 100 {
			t.Errorf("%+v", p)
		}
	})
}

// An interrupted pass resumes where it was, at a bounded rate.
func TestResumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "at")
		w := newWorld(3000, 2, 2)
		slow := fast
		slow.BytesPerSecond = 100_000 // a hundred blobs per second
		ctx, cancel := context.WithCancel(context.Background())
		w.stop, w.after = cancel, 2000
		started := time.Now()
		if err := w.repairer(t, slow, file).Pass(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("ended with %v", err)
		}
		if took := time.Since(started); took < 19*time.Second || took > 21*time.Second {
			t.Errorf("2000 blobs took %s", took)
		}
		w.stop = nil
		r := w.repairer(t, slow, file)
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if w.read < 3000 || w.read > 3000+batchSize {
			t.Errorf("%d blobs were read in both", w.read)
		}
		if err := r.Pass(context.Background()); err != nil || r.Progress().Read < 3000 {
			t.Errorf("the next pass starts over: %+v %v", r.Progress(), err)
		}
	})
}

// In every state of the peers, a plan makes neither too few copies nor more than needed.
func TestPlans(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		order := make([]PeerState, rng.IntN(6))
		for i := range order {
			order[i] = PeerState(rng.IntN(4))
		}
		copies := 1 + rng.IntN(4)
		targets, short := Plan(order, copies)
		hold, lack, silent, before := 1, 0, 0, 0
		for _, h := range order {
			switch h {
			case Holds:
				hold++
			case Lacks:
				lack++
			case Silent:
				if before < copies-1 {
					silent++
				}
			}
			if h != Gone {
				before++
			}
		}
		want := min(lack, max(0, copies-hold-silent))
		if len(targets) != want || short != max(0, copies-hold-silent-want) {
			t.Fatalf("%v for %d copies: targets %v, short %d", order, copies, targets, short)
		}
		for i, at := range targets {
			if order[at] != Lacks || i > 0 && targets[i-1] >= at {
				t.Fatalf("%v: targets %v", order, targets)
			}
		}
	}
}

func TestSettings(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.Copies = 0 }, func(s *Settings) { s.BytesPerSecond = 0 },
		func(s *Settings) { s.Every = 0 }, func(s *Settings) { s.Grace = -1 }} {
		s := fast
		change(&s)
		if s.Check() == nil {
			t.Errorf("%+v passes", s)
		}
	}
}
