package reapi

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/repair"
)

// TestThroughput measures, over gRPC on loopback, uploads relative to writing and syncing files,
// downloads into files relative to copying files, and cached action results per second.
//
// Run it with: GATE_THROUGHPUT=1 go test -run TestThroughput -v ./internal/reapi
func TestThroughput(t *testing.T) {
	if os.Getenv("GATE_THROUGHPUT") == "" {
		t.Skip("benchmark; set GATE_THROUGHPUT=1 to run it")
	}
	b, _ := startFrontEnd(t, twoTeams, OpenAccess{}, blobstore.Options{MaxBytes: 4 << 30, MaxBlob: 64 << 20})
	const blobs, size = 64, 8 << 20
	data := make([][]byte, blobs)
	for i := range data {
		data[i] = randomBytes(size)
	}
	rate := func(f func(i int)) float64 {
		started := time.Now()
		var wg sync.WaitGroup
		for w := range 4 {
			wg.Go(func() {
				for i := w; i < blobs; i += 4 {
					f(i)
				}
			})
		}
		wg.Wait()
		return float64(blobs*size) / 1e6 / time.Since(started).Seconds()
	}
	dir := t.TempDir()
	path := func(i int) string { return filepath.Join(dir, fmt.Sprint(i)) }
	write := rate(func(i int) {
		f, err := os.Create(path(i))
		if err != nil {
			t.Error(err)
			return
		}
		defer f.Close() //nolint:errcheck // Sync reports write errors
		if _, err := f.Write(data[i]); err != nil || f.Sync() != nil {
			t.Error("could not write and sync the file")
		}
	})
	writeCopy := func(i int, f func(w io.Writer) error) {
		out, err := os.Create(path(i) + ".copy")
		if err != nil {
			t.Error(err)
			return
		}
		defer out.Close() //nolint:errcheck // the copy is not read
		if err := f(struct{ io.Writer }{out}); err != nil {
			t.Error(err)
		}
	}
	read := rate(func(i int) {
		writeCopy(i, func(w io.Writer) error {
			f, err := os.Open(path(i))
			if err != nil {
				return err
			}
			defer f.Close() //nolint:errcheck // opened for reading
			_, err = io.CopyBuffer(w, struct{ io.Reader }{f}, make([]byte, chunkSize))
			return err
		})
	})
	up := rate(func(i int) {
		if _, err := b.upload("uploads/1/blobs/"+blobstore.Of(data[i]).String(), data[i], 0, chunkSize, true); err != nil {
			t.Error(err)
		}
	})
	down := rate(func(i int) {
		writeCopy(i, func(w io.Writer) error { return b.downloadTo(w, "blobs/"+blobstore.Of(data[i]).String(), 0, 0) })
	})
	action := digestToProto(blobstore.Of([]byte("a")))
	result := &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: b.uploadBlob(randomBytes(100))}}}
	if _, err := b.ac.UpdateActionResult(b.ctx, &repb.UpdateActionResultRequest{ActionDigest: action, ActionResult: result}); err != nil {
		t.Fatal(err)
	}
	started, hits := time.Now(), 0
	for time.Since(started) < 2*time.Second {
		if _, err := b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{ActionDigest: action}); err != nil {
			t.Fatal(err)
		}
		hits++
	}
	t.Logf("upload %.0f MB/s, %.2f of the rate of writing files (%.0f); download %.0f MB/s, %.2f of the rate of copying files (%.0f); %.0f cached results per second for one client",
		up, up/write, write, down, down/read, read, float64(hits)/time.Since(started).Seconds())
}

// TestRepairSpeed measures how fast repair copies missing blobs to a peer without a rate limit,
// relative to a client that writes the same blobs to one front end.
//
// Run it with: GATE_THROUGHPUT=1 go test -run TestRepairSpeed -v ./internal/reapi
func TestRepairSpeed(t *testing.T) {
	if os.Getenv("GATE_THROUGHPUT") == "" {
		t.Skip("benchmark; set GATE_THROUGHPUT=1 to run it")
	}
	s := startGroup(t, 2, 1)
	a := s.clients[0]
	const blobs, size = 30, 1 << 20
	started := time.Now()
	for range blobs {
		data := randomBytes(size)
		if _, err := a.upload("uploads/1/blobs/"+blobstore.Of(data).String(), data, 0, chunkSize, true); err != nil {
			t.Fatal(err)
		}
	}
	write := float64(blobs*size) / 1e6 / time.Since(started).Seconds()
	r, err := s.frontEnds[0].Repair(repair.Settings{Copies: 2, BytesPerSecond: 1e12, Interval: time.Minute}, filepath.Join(t.TempDir(), "at"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	started = time.Now()
	if err := r.Pass(a.ctx); err != nil {
		t.Fatal(err)
	}
	took := time.Since(started).Seconds()
	if p := r.Progress(); p.Copied != blobs {
		t.Fatalf("repair did not copy all blobs: %+v", p)
	}
	started = time.Now()
	if err := r.Pass(a.ctx); err != nil {
		t.Fatal(err)
	}
	t.Logf("copied at %.0f MB/s, %.2f of the rate of a client's writes (%.0f); verified at %.0f MB/s with nothing to copy", float64(blobs*size)/1e6/took,
		float64(blobs*size)/1e6/took/write, write, float64(blobs*size)/1e6/time.Since(started).Seconds())
}
