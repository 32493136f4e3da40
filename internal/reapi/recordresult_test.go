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

// All front ends agree on the primary of an execution, and executions are spread over all front
// ends. The next front end becomes primary after the grace period, and not before.
func TestPrimary(t *testing.T) {
	s := startGroup(t, 3, 2)
	now := time.Now()
	executions := map[string]int{}
	for i := range 300 {
		execution := blobstore.Of(fmt.Append(nil, i)).Hash
		var by string
		for _, f := range s.frontEnds {
			addr := f.config.SelfAddr
			if p := f.primary(execution, now); p != nil {
				addr = p.addr
			}
			if by == "" {
				by = addr
			}
			if addr != by {
				t.Fatalf("front ends disagree on the primary of %s: %s and %s", execution, by, addr)
			}
		}
		executions[by]++
	}
	for _, f := range s.frontEnds {
		if executions[f.config.SelfAddr] < 50 {
			t.Errorf("executions by primary: %v; want at least 50 for %s", executions, f.config.SelfAddr)
		}
	}
	f := s.frontEnds[0]
	first := f.peers.peers[0]
	for i := range 300 {
		execution := blobstore.Of(fmt.Append(nil, i)).Hash
		if f.primary(execution, now) != first {
			continue
		}
		first.outage.failed(now, time.Minute)
		for at := now; at.Before(now.Add(70 * time.Second)); at = at.Add(10 * time.Second) {
			first.outage.failed(at, time.Minute)
			if next := f.primary(execution, at); (next == first) != (at.Sub(now) <= f.grace()) {
				t.Errorf("the first primary has been down for %s and the grace period is %s: primary = %v, want another one only after the grace period", at.Sub(now), f.grace(), next)
			}
		}
		break
	}
}

// Two failures far apart must not count as one long outage of a rarely called peer.
func TestPeerOutage(t *testing.T) {
	var o outage
	now := time.Now()
	o.failed(now, time.Minute)
	o.failed(now.Add(time.Hour), time.Minute)
	if o.exceeds(now.Add(time.Hour), time.Minute) {
		t.Error("two failures an hour apart exceed a grace period of one minute")
	}
	for i := range 5 {
		o.failed(now.Add(time.Hour+time.Duration(i)*20*time.Second), time.Minute)
	}
	if !o.exceeds(now.Add(time.Hour+80*time.Second), time.Minute) {
		t.Error("80 s without an answer do not exceed a grace period of one minute")
	}
	o.answered()
	if o.exceeds(now.Add(2*time.Hour), time.Minute) {
		t.Error("the outage continues after an answer")
	}
}

// A result whose blobs are lost is replaced by the next result. While a front end that may have
// the blobs does not answer, the result must not be replaced.
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
	action := b.uploadAction("true")
	entry.Hash, entry.Size = action.Hash, action.SizeBytes
	record := func(data []byte) (bool, error) {
		d := b.uploadBlob(data)
		return f.RecordResult(context.Background(), "", "red", entry, &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: d}}}, true)
	}
	one, two := randomBytes(100), randomBytes(100)
	if recorded, err := record(one); err != nil || !recorded {
		t.Fatalf("first result: recorded = %v, error %v; want it recorded", recorded, err)
	}
	if recorded, err := record(two); err != nil || recorded {
		t.Fatalf("second result: recorded = %v, error %v; want it discarded", recorded, err)
	}
	f.config.Grace = time.Hour
	// The blob is corrupted on disk, so no front end has it.
	flipBit(t, s.dirs[at], blobstore.Of(one).Hash)
	if err := f.store.Verify(blobstore.Key{Space: "red", Digest: blobstore.Of(one)}); err == nil {
		t.Fatal("the corrupt blob passes verification")
	}
	s.servers[1-at].Stop()
	_, err := record(two)
	b.wantCode(err, codes.Unavailable)
	f.config.Grace = time.Nanosecond
	time.Sleep(time.Millisecond)
	if recorded, err := record(two); err != nil || !recorded {
		t.Fatalf("result after the blobs of the first were lost: recorded = %v, error %v; want it recorded", recorded, err)
	}
	got, err := b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{ActionDigest: action})
	if err != nil || got.OutputFiles[0].Digest.Hash != blobstore.Of(two).Hash {
		t.Errorf("stored result = %v, %v; want the replacement", got, err)
	}
}
