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

// world is a gate's store and other gates, in memory.
type world struct {
	own   map[blobstore.Key]string // "", or what is wrong with it
	gates []*fakeGate
	read  int
	stop  func() // called after so many reads
	after int
}

type fakeGate struct {
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

func (g *fakeGate) Name() string { return g.name }

func (g *fakeGate) Lacks(_ context.Context, space string, digests []blobstore.Digest) (out []blobstore.Digest, err error) {
	if g.down {
		return nil, errors.New("down")
	}
	for _, d := range digests {
		if !g.has[blobstore.Key{Space: space, Digest: d}] {
			out = append(out, d)
		}
	}
	return out, nil
}

func (g *fakeGate) Push(_ context.Context, k blobstore.Key) error {
	if g.down || g.full {
		return errors.New("no")
	}
	g.has[k], g.pushed = true, g.pushed+1
	return nil
}

func key(i int) blobstore.Key {
	d := blobstore.Of(fmt.Append(nil, i))
	d.Size = 1000
	return blobstore.Key{Space: []string{"red", "blue"}[i%2], Digest: d}
}

// newWorld holds so many blobs, each on `copies` gates in its order.
func newWorld(blobs, gates, copies int) *world {
	w := &world{own: map[blobstore.Key]string{}}
	for i := range gates {
		w.gates = append(w.gates, &fakeGate{w: w, name: fmt.Sprint("gate-", i), has: map[blobstore.Key]bool{}})
	}
	for i := range blobs {
		k := key(i)
		w.own[k] = ""
		for _, g := range w.order(k.Hash)[:copies-1] {
			g.(*fakeGate).has[k] = true
		}
	}
	return w
}

func (w *world) order(hash string) []Gate {
	var out []Gate
	for i := range w.gates {
		out = append(out, w.gates[(int(hash[0])+i)%len(w.gates)])
	}
	return out
}

func (w *world) source(_ context.Context, k blobstore.Key) error {
	for _, g := range w.gates {
		if !g.down && g.has[k] {
			w.own[k] = ""
			return nil
		}
	}
	return blobstore.ErrNotFound
}

func (w *world) copies(k blobstore.Key) int {
	n := 1
	for _, g := range w.gates {
		if !g.down && g.has[k] {
			n++
		}
	}
	return n
}

func (w *world) repairer(t *testing.T, s Settings, file string) *Repairer {
	t.Helper()
	r, err := New(s, file, w, w.order, w.source, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var fast = Settings{Copies: 2, BytesPerSecond: 1e9, Every: time.Minute, Grace: 2 * time.Minute}

// A gate that is away for a moment costs nothing; one that is gone has its copies
// made anew elsewhere, and nothing more is copied when it comes back.
func TestCopiesAreMadeAnew(t *testing.T) {
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
			t.Errorf("nothing was to do: %+v", p)
		}
		w.gates[1].down = true
		if p := pass(); p.Copied != 0 || len(p.Gone) != 0 {
			t.Errorf("a gate that is away for a moment: %+v", p)
		}
		time.Sleep(3 * time.Minute)
		p := pass()
		if p.Copied < 300 || p.Copied > 700 || !slices.Equal(p.Gone, []string{"gate-1"}) {
			t.Errorf("a gate that is gone: %+v", p)
		}
		for k := range w.own {
			if w.copies(k) < 2 {
				t.Fatalf("%s has %d copies", k.Digest, w.copies(k))
			}
		}
		w.gates[1].down = false
		if q := pass(); q.Copied != p.Copied || len(q.Gone) != 0 {
			t.Errorf("it came back: %+v", q)
		}
	})
}

// What was changed on disk is found, brought back from another gate, or counted.
func TestBlobsAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(100, 2, 2)
		w.own[key(3)], w.own[key(4)], w.own[key(5)] = "corrupt", "corrupt", "evicted"
		for _, g := range w.gates {
			delete(g.has, key(4))
		}
		r := w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Corrupt != 2 || p.Restored != 1 || p.Read != 97 || p.Copied != 0 {
			t.Errorf("%+v", p)
		}
		if _, ok := w.own[key(3)]; !ok {
			t.Error("it was not brought back")
		}
	})
}

// A full gate is passed over for the next; with none left the blob counts as short.
func TestFullGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(100, 3, 1)
		w.gates[0].full = true
		r := w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Copied != 100 || p.Short != 0 || w.gates[0].pushed != 0 {
			t.Errorf("%+v", p)
		}
		w = newWorld(100, 2, 1)
		w.gates[0].full, w.gates[1].full = true, true
		r = w.repairer(t, fast, filepath.Join(t.TempDir(), "at"))
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); p.Copied != 0 || p.Short != 100 {
			t.Errorf("%+v", p)
		}
	})
}

// A pass that was cut short goes on where it was, at a bounded pace.
func TestAPassGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "at")
		w := newWorld(3000, 2, 2)
		slow := fast
		slow.BytesPerSecond = 100_000 // a hundred blobs a second
		ctx, cancel := context.WithCancel(context.Background())
		w.stop, w.after = cancel, 2000
		begun := time.Now()
		if err := w.repairer(t, slow, file).Pass(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("ended with %v", err)
		}
		if took := time.Since(begun); took < 19*time.Second || took > 21*time.Second {
			t.Errorf("2000 blobs took %s", took)
		}
		w.stop = nil
		r := w.repairer(t, slow, file)
		if err := r.Pass(context.Background()); err != nil {
			t.Fatal(err)
		}
		if w.read < 3000 || w.read > 3000+batch {
			t.Errorf("%d blobs were read in both", w.read)
		}
		if err := r.Pass(context.Background()); err != nil || r.Progress().Read < 3000 {
			t.Errorf("the next one begins anew: %+v %v", r.Progress(), err)
		}
	})
}

// Whatever gates say, a plan makes neither too few copies nor more than needed.
func TestPlans(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		order := make([]Has, rng.IntN(6))
		for i := range order {
			order[i] = Has(rng.IntN(4))
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

func TestSettingsAreChecked(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.Copies = 0 }, func(s *Settings) { s.BytesPerSecond = 0 },
		func(s *Settings) { s.Every = 0 }, func(s *Settings) { s.Grace = -1 }} {
		s := fast
		change(&s)
		if s.Check() == nil {
			t.Errorf("%+v passes", s)
		}
	}
}
