package reapi

import (
	"context"
	"fmt"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"

	"micaspindle/internal/blobstore"
)

// All gates name the same one for an execution, and each decides on its part; after
// the grace, and not before, the next one does.
func TestOneGateDecides(t *testing.T) {
	s := startSeveral(t, 3, 2)
	now := time.Now()
	decided := map[string]int{}
	for i := range 300 {
		execution := blobstore.Of(fmt.Append(nil, i)).Hash
		var by string
		for _, g := range s.gates {
			addr := g.config.Self
			if p := g.decider(execution, now); p != nil {
				addr = p.addr
			}
			if by == "" {
				by = addr
			}
			if addr != by {
				t.Fatalf("%s is decided by %s and by %s", execution, by, addr)
			}
		}
		decided[by]++
	}
	for _, g := range s.gates {
		if decided[g.config.Self] < 50 {
			t.Errorf("decided by %v", decided)
		}
	}
	g := s.gates[0]
	first := g.peers.gates[0]
	for i := range 300 {
		execution := blobstore.Of(fmt.Append(nil, i)).Hash
		if g.decider(execution, now) != first {
			continue
		}
		first.silence.failed(now, time.Minute)
		for at := now; at.Before(now.Add(70 * time.Second)); at = at.Add(10 * time.Second) {
			first.silence.failed(at, time.Minute)
			if next := g.decider(execution, at); (next == first) != (at.Sub(now) <= g.grace()) {
				t.Errorf("after %s: %v", at.Sub(now), next)
			}
		}
		break
	}
}

// What is asked seldom is not called gone for two failures far apart.
func TestSilence(t *testing.T) {
	var s silence
	now := time.Now()
	s.failed(now, time.Minute)
	s.failed(now.Add(time.Hour), time.Minute)
	if s.over(now.Add(time.Hour), time.Minute) {
		t.Error("gone after two failures in an hour")
	}
	for i := range 5 {
		s.failed(now.Add(time.Hour+time.Duration(i)*20*time.Second), time.Minute)
	}
	if !s.over(now.Add(time.Hour+80*time.Second), time.Minute) {
		t.Error("not gone after 80 s without an answer")
	}
	s.answered()
	if s.over(now.Add(2*time.Hour), time.Minute) {
		t.Error("gone though it answers")
	}
}

// A result whose blobs are lost is replaced by the next one, and the action can be
// executed again; while a gate is away that may have them, nothing is replaced.
func TestALostResultIsMadeAnew(t *testing.T) {
	s := startSeveral(t, 2, 1)
	var g *FrontEnd
	var at int
	e := &ManifestEntry{Execution: blobstore.Of([]byte("execution")).Hash}
	for i := range s.gates {
		if s.gates[i].decider(e.Execution, time.Now()) == nil {
			g, at = s.gates[i], i
		}
	}
	b := s.clients[at]
	action := b.action("true")
	e.Hash, e.Size = action.Hash, action.SizeBytes
	record := func(data []byte) (bool, error) {
		d := b.blob(data)
		return g.RecordResult(context.Background(), "", "red", e, &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: d}}}, true)
	}
	one, two := random(100), random(100)
	if first, err := record(one); err != nil || !first {
		t.Fatalf("%v %v", first, err)
	}
	if first, err := record(two); err != nil || first {
		t.Fatalf("a second result stays: %v %v", first, err)
	}
	g.config.Grace = time.Hour
	// The blob is changed on disk, so it is nowhere.
	spoil(t, s.dirs[at], blobstore.Of(one).Hash)
	if err := g.store.Verify(blobstore.Key{Space: "red", Digest: blobstore.Of(one)}); err == nil {
		t.Fatal("it is still there")
	}
	s.servers[1-at].Stop()
	_, err := record(two)
	b.code(err, codes.Unavailable)
	g.config.Grace = time.Nanosecond
	time.Sleep(time.Millisecond)
	if first, err := record(two); err != nil || !first {
		t.Fatalf("%v %v", first, err)
	}
	got, err := b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{ActionDigest: action})
	if err != nil || got.OutputFiles[0].Digest.Hash != blobstore.Of(two).Hash {
		t.Errorf("%v %v", got, err)
	}
}
