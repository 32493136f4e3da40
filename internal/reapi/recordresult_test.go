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

// All front ends compute the same primary of an execution, and executions are spread over
// all; after the grace period, and not before, the next one is primary.
func TestPrimary(t *testing.T) {
	s := startGroup(t, 3, 2)
	now := time.Now()
	decided := map[string]int{}
	for i := range 300 {
		execution := blobstore.Of(fmt.Append(nil, i)).Hash
		var by string
		for _, f := range s.frontEnds {
			addr := f.config.Self
			if p := f.primary(execution, now); p != nil {
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
	for _, f := range s.frontEnds {
		if decided[f.config.Self] < 50 {
			t.Errorf("decided by %v", decided)
		}
	}
	f := s.frontEnds[0]
	first := f.peers.peers[0]
	for i := range 300 {
		execution := blobstore.Of(fmt.Append(nil, i)).Hash
		if f.primary(execution, now) != first {
			continue
		}
		first.silence.failed(now, time.Minute)
		for at := now; at.Before(now.Add(70 * time.Second)); at = at.Add(10 * time.Second) {
			first.silence.failed(at, time.Minute)
			if next := f.primary(execution, at); (next == first) != (at.Sub(now) <= f.grace()) {
				t.Errorf("after %s: %v", at.Sub(now), next)
			}
		}
		break
	}
}

// Two failures far apart do not make a rarely called peer count as gone.
func TestSilence(t *testing.T) {
	var s silence
	now := time.Now()
	s.failed(now, time.Minute)
	s.failed(now.Add(time.Hour), time.Minute)
	if s.exceeds(now.Add(time.Hour), time.Minute) {
		t.Error("gone after two failures in an hour")
	}
	for i := range 5 {
		s.failed(now.Add(time.Hour+time.Duration(i)*20*time.Second), time.Minute)
	}
	if !s.exceeds(now.Add(time.Hour+80*time.Second), time.Minute) {
		t.Error("not gone after 80 s without an answer")
	}
	s.answered()
	if s.exceeds(now.Add(2*time.Hour), time.Minute) {
		t.Error("gone though it answers")
	}
}

// A result whose blobs are lost is replaced by the next one, and the action can be executed
// again; while a front end that may have them does not answer, nothing is replaced.
func TestLostResultIsReplaced(t *testing.T) {
	s := startGroup(t, 2, 1)
	var f *FrontEnd
	var at int
	entry := &ManifestEntry{Execution: blobstore.Of([]byte("execution")).Hash}
	for i := range s.frontEnds {
		if s.frontEnds[i].primary(entry.Execution, time.Now()) == nil {
			f, at = s.frontEnds[i], i
		}
	}
	b := s.clients[at]
	action := b.action("true")
	entry.Hash, entry.Size = action.Hash, action.SizeBytes
	record := func(data []byte) (bool, error) {
		d := b.blob(data)
		return f.RecordResult(context.Background(), "", "red", entry, &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: d}}}, true)
	}
	one, two := random(100), random(100)
	if first, err := record(one); err != nil || !first {
		t.Fatalf("%v %v", first, err)
	}
	if first, err := record(two); err != nil || first {
		t.Fatalf("a second result stays: %v %v", first, err)
	}
	f.config.Grace = time.Hour
	// The blob is corrupted on disk, so no front end has it.
	flipBit(t, s.dirs[at], blobstore.Of(one).Hash)
	if err := f.store.Verify(blobstore.Key{Space: "red", Digest: blobstore.Of(one)}); err == nil {
		t.Fatal("it is still there")
	}
	s.servers[1-at].Stop()
	_, err := record(two)
	b.code(err, codes.Unavailable)
	f.config.Grace = time.Nanosecond
	time.Sleep(time.Millisecond)
	if first, err := record(two); err != nil || !first {
		t.Fatalf("%v %v", first, err)
	}
	got, err := b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{ActionDigest: action})
	if err != nil || got.OutputFiles[0].Digest.Hash != blobstore.Of(two).Hash {
		t.Errorf("%v %v", got, err)
	}
}
