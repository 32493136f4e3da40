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

// fakeCluster is a fake of a front end's store and its peers.
type fakeCluster struct {
	blobs       map[blobstore.Key]string // state: "" (intact), "corrupt" or "evicted"
	peers       []*fakePeer
	reads       int
	onRead      func() // if set, called after onReadCount reads
	onReadCount int
}

type fakePeer struct {
	cluster *fakeCluster
	name    string
	has     map[blobstore.Key]bool
	down    bool
	full    bool
	pushed  int
}

func (cluster *fakeCluster) Keys() []blobstore.Key { return slices.Collect(maps.Keys(cluster.blobs)) }

func (cluster *fakeCluster) Verify(k blobstore.Key) error {
	if cluster.reads++; cluster.onRead != nil && cluster.reads == cluster.onReadCount {
		cluster.onRead()
	}
	switch cluster.blobs[k] {
	case "corrupt":
		delete(cluster.blobs, k)
		return blobstore.ErrMismatch
	case "evicted":
		delete(cluster.blobs, k)
		return blobstore.ErrNotFound
	}
	return nil
}

func (p *fakePeer) Name() string { return p.name }

func (p *fakePeer) FindMissing(_ context.Context, space string, digests []blobstore.Digest) (out []blobstore.Digest, err error) {
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
		return errors.New("down or full")
	}
	p.has[k], p.pushed = true, p.pushed+1
	return nil
}

func key(i int) blobstore.Key {
	d := blobstore.Of(fmt.Append(nil, i))
	d.Size = 1000
	return blobstore.Key{Space: []string{"red", "blue"}[i%2], Digest: d}
}

// newFakeCluster creates blobs with the given number of copies each: one on this front end, the
// others on the first peers in the blob's order.
func newFakeCluster(blobs, peers, copies int) *fakeCluster {
	cluster := &fakeCluster{blobs: map[blobstore.Key]string{}}
	for i := range peers {
		cluster.peers = append(cluster.peers, &fakePeer{cluster: cluster, name: fmt.Sprint("peer-", i), has: map[blobstore.Key]bool{}})
	}
	for i := range blobs {
		k := key(i)
		cluster.blobs[k] = ""
		for _, p := range cluster.order(k.Hash)[:copies-1] {
			p.(*fakePeer).has[k] = true
		}
	}
	return cluster
}

func (cluster *fakeCluster) order(hash string) []Peer {
	var out []Peer
	for i := range cluster.peers {
		out = append(out, cluster.peers[(int(hash[0])+i)%len(cluster.peers)])
	}
	return out
}

func (cluster *fakeCluster) restore(_ context.Context, k blobstore.Key) error {
	for _, p := range cluster.peers {
		if !p.down && p.has[k] {
			cluster.blobs[k] = ""
			return nil
		}
	}
	return blobstore.ErrNotFound
}

func (cluster *fakeCluster) copies(k blobstore.Key) int {
	n := 1
	for _, p := range cluster.peers {
		if !p.down && p.has[k] {
			n++
		}
	}
	return n
}

func (cluster *fakeCluster) repairer(t *testing.T, s Settings, file string) *Repairer {
	t.Helper()
	r, err := New(s, file, cluster, cluster.order, cluster.restore, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var fastSettings = Settings{Copies: 2, BytesPerSecond: 1e9, Interval: time.Minute, Grace: 2 * time.Minute}

// If a peer is down for less than the grace period, no blobs are copied. If it is down for longer,
// its blobs are copied to other peers, and nothing more is copied when it returns.
func TestCopiesOfLostPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(1500, 3, 2)
		r := cluster.repairer(t, fastSettings, filepath.Join(t.TempDir(), "cursor"))
		ctx := context.Background()
		pass := func() Progress {
			if err := r.Pass(ctx); err != nil {
				t.Fatal(err)
			}
			return r.Progress()
		}
		if p := pass(); p.Copied != 0 || p.Done != 1500 || p.Verified != 1500 || len(p.Gone) != 0 {
			t.Errorf("pass with enough copies: %+v, want 1500 blobs read and none copied", p)
		}
		cluster.peers[1].down = true
		if p := pass(); p.Copied != 0 || len(p.Gone) != 0 {
			t.Errorf("pass within the grace period of a peer: %+v, want no copies and no peer gone", p)
		}
		time.Sleep(3 * time.Minute)
		p := pass()
		if p.Copied < 300 || p.Copied > 700 || !slices.Equal(p.Gone, []string{"peer-1"}) {
			t.Errorf("pass after the grace period of peer-1: %+v, want 300 to 700 copies and peer-1 gone", p)
		}
		for k := range cluster.blobs {
			if cluster.copies(k) < 2 {
				t.Fatalf("%s has %d copies, want at least 2", k.Digest, cluster.copies(k))
			}
		}
		cluster.peers[1].down = false
		if q := pass(); q.Copied != p.Copied || len(q.Gone) != 0 {
			t.Errorf("pass after the return of peer-1: %+v, want no more copies and no peer gone", q)
		}
	})
}

// Corrupt blobs are detected, and restored if a peer has a copy.
func TestCorruptBlobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(100, 2, 2)
		cluster.blobs[key(3)], cluster.blobs[key(4)], cluster.blobs[key(5)] = "corrupt", "corrupt", "evicted"
		for _, p := range cluster.peers {
			delete(p.has, key(4))
		}
		r := cluster.repairer(t, fastSettings, filepath.Join(t.TempDir(), "cursor"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Corrupt != 2 || p.Restored != 1 || p.Verified != 97 || p.Copied != 0 {
			t.Errorf("pass with corrupt blobs: %+v, want 97 blobs read, 2 corrupt, 1 restored and none copied", p)
		}
		if _, ok := cluster.blobs[key(3)]; !ok {
			t.Error("corrupt blob with a copy was not restored")
		}
	})
}

// If a peer is full, blobs are copied to the next one; if all are, the blob counts as
// under-replicated.
func TestFullPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(100, 3, 1)
		cluster.peers[0].full = true
		r := cluster.repairer(t, fastSettings, filepath.Join(t.TempDir(), "cursor"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Copied != 100 || p.UnderReplicated != 0 || cluster.peers[0].pushed != 0 {
			t.Errorf("pass with one full peer: %+v, want 100 blobs copied and none under-replicated", p)
		}
		cluster = newFakeCluster(100, 2, 1)
		cluster.peers[0].full, cluster.peers[1].full = true, true
		r = cluster.repairer(t, fastSettings, filepath.Join(t.TempDir(), "cursor"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Copied != 0 || p.UnderReplicated != 100 {
			t.Errorf("pass with only full peers: %+v, want none copied and 100 blobs under-replicated", p)
		}
	})
}

// A pass keeps to the bounded rate, and resumes where it was interrupted.
func TestInterruptedPassResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "cursor")
		cluster := newFakeCluster(3000, 2, 2)
		slow := fastSettings
		slow.BytesPerSecond = 100_000 // 100 blobs per second
		ctx, cancel := context.WithCancel(context.Background())
		cluster.onRead, cluster.onReadCount = cancel, 2000
		started := time.Now()
		if err := cluster.repairer(t, slow, file).Pass(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("interrupted pass ended with error %v, want Canceled", err)
		}
		if took := time.Since(started); took < 19*time.Second || took > 21*time.Second {
			t.Errorf("2000 blobs took %s, want 20 s", took)
		}
		cluster.onRead = nil
		r := cluster.repairer(t, slow, file)
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if cluster.reads < 3000 || cluster.reads > 3000+maxBatchSize {
			t.Errorf("both parts of the pass read %d blobs, want 3000 and at most one batch twice", cluster.reads)
		}
		if err := r.Pass(context.Background()); err != nil || r.Progress().Verified < 3000 {
			t.Errorf("next pass: %+v, error %v, want all 3000 blobs read", r.Progress(), err)
		}
	})
}

// For random states of the peers, a plan makes neither too few copies nor too many.
func TestPlanCopies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		order := make([]PeerState, rng.IntN(6))
		for i := range order {
			order[i] = PeerState(rng.IntN(4))
		}
		copies := 1 + rng.IntN(4)
		targets, short := PlanCopies(order, copies)
		hold, lack, silent, before := 1, 0, 0, 0
		for _, state := range order {
			switch state {
			case Holds:
				hold++
			case Lacks:
				lack++
			case Unresponsive:
				if before < copies-1 {
					silent++
				}
			}
			if state != Gone {
				before++
			}
		}
		want := min(lack, max(0, copies-hold-silent))
		if len(targets) != want || short != max(0, copies-hold-silent-want) {
			t.Fatalf("%v for %d copies: targets %v, short %d, want %d targets", order, copies, targets, short, want)
		}
		for i, at := range targets {
			if order[at] != Lacks || i > 0 && targets[i-1] >= at {
				t.Fatalf("%v: targets %v, want peers that lack the blob, in order", order, targets)
			}
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.Copies = 0 }, func(s *Settings) { s.BytesPerSecond = 0 },
		func(s *Settings) { s.Interval = 0 }, func(s *Settings) { s.Grace = -1 }} {
		s := fastSettings
		change(&s)
		if s.Check() == nil {
			t.Errorf("invalid settings %+v are accepted", s)
		}
	}
}
