package reapi

import (
	"context"
	"sync"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
)

func retryDelay(err error) time.Duration {
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok {
			return info.GetRetryDelay().AsDuration()
		}
	}
	return 0
}

// A call acquires its slot only after it is authorized and releases the slot even if the client
// disconnects. If no slot is free, the call is rejected immediately with a retry delay.
func TestTransferSlots(t *testing.T) {
	config := twoTeams
	queue := admission.New(admission.Limits{Concurrency: 1, MaxWaiting: 0})
	config.Shares.Transfers = queue
	rights := allowedCalls{"anna view-arguments red": true, "anna submit red": true, "ben view-arguments blue": true}
	open, _ := startFrontEnd(t, config, rights, largeStore)
	b := open.as("anna")
	data := randomBytes(8 << 20)
	if _, err := b.upload("uploads/1/blobs/"+blobstore.Of(data).String(), data, 0, chunkSize, true); err != nil {
		t.Fatal(err)
	}
	name := "blobs/" + blobstore.Of(data).String()
	// A client that does not read its stream holds the slot.
	ctx, cancel := context.WithCancel(b.ctx)
	slow, err := b.bytes.Read(ctx, &bytestream.ReadRequest{ResourceName: name})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := slow.Recv(); err != nil {
		t.Fatal(err)
	}
	_, err = b.download(name, 0, 0)
	b.wantCode(err, codes.ResourceExhausted)
	if retryDelay(err) == 0 {
		t.Errorf("the rejected call has no retry delay: %v", err)
	}
	_, err = open.as("ben").download(name, 0, 0) // rejected for the missing right, not for the slot
	open.wantCode(err, codes.PermissionDenied)
	if _, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{}); err != nil {
		t.Errorf("a small call failed while all transfer slots were in use: %v", err)
	}
	cancel()
	for deadline := time.Now().Add(10 * time.Second); queue.Stats().Active > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the slot of a disconnected client was not released")
		}
	}
	if got, err := b.download(name, 0, 0); err != nil || len(got) != len(data) {
		t.Errorf("download after the slot was released: %d bytes, error %v; want %d bytes", len(got), err, len(data))
	}
}

// The byte rate is enforced, and teams that use it at the same time share it by weight.
func TestByteRate(t *testing.T) {
	config := twoTeams
	const rate = 16 << 20
	config.Shares.Bytes = admission.New(admission.Limits{PerSecond: rate, MaxWaiting: 100, Weights: map[string]float64{"blue": 3}})
	b, _ := startFrontEnd(t, config, OpenAccess{}, largeStore)
	data := randomBytes(4 << 20)
	d := blobstore.Of(data).String()
	for _, prefix := range []string{"", "a/b/"} {
		if _, err := b.upload(prefix+"uploads/1/blobs/"+d, data, 0, chunkSize, true); err != nil {
			t.Fatal(err)
		}
	}
	end := time.Now().Add(2 * time.Second)
	var mu sync.Mutex
	got := map[string]int{}
	var wg sync.WaitGroup
	started := time.Now()
	for _, prefix := range []string{"", "a/b/"} {
		for range 3 {
			wg.Go(func() {
				for time.Now().Before(end) {
					data, err := b.download(prefix+"blobs/"+d, 0, 0)
					if err != nil {
						t.Error(err)
						return
					}
					mu.Lock()
					got[prefix] += len(data)
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	seconds := time.Since(started).Seconds()
	total := float64(got[""] + got["a/b/"])
	if total > 1.2*rate*seconds+8<<20 || total < 0.5*rate*seconds || float64(got["a/b/"]) < 1.5*float64(got[""]) {
		t.Errorf("team red received %d bytes and team blue %d bytes in %.1f s; want 0.5 to 1.2 times the rate limit in total, and blue at least 1.5 times red", got[""], got["a/b/"], seconds)
	}
}
