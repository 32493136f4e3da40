package reapi

import (
	"bytes"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"

	"micaspindle/internal/blobstore"
)

// killAndRestart stops a front end abruptly, as SIGKILL would, and restarts it at the same address with
// the state on its disk.
func (s *group) killAndRestart(t *testing.T, i int) {
	t.Helper()
	old := s.frontEnds[i]
	s.servers[i].Stop()
	_ = s.stores[i].Close()
	store, _, err := blobstore.Open(filepath.Join(s.dirs[i], "content"), largeStore)
	if err != nil {
		t.Fatal(err)
	}
	results, err := blobstore.OpenResults(filepath.Join(s.dirs[i], "results"), 100)
	if err != nil {
		t.Fatal(err)
	}
	f := New(old.config, store, results, allowAll{}, old.peers, old.jobs, slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", old.config.SelfAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := f.Server()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Stop(); _ = store.Close() })
	s.frontEnds[i], s.stores[i], s.servers[i] = f, store, server
}

// An interrupted write, compressed or not, can be resumed after its front end was killed, and
// on a peer, without sending any byte twice.
func TestWritesSurviveRestart(t *testing.T) {
	for _, compressed := range []bool{false, true} {
		s := startGroup(t, 2, 1)
		data := randomBytes(2_500_000)
		sent, kind := data, "blobs/"
		if compressed {
			sent, kind = compressZstd(data), "compressed-blobs/zstd/"
		}
		name := "uploads/u/" + kind + blobstore.Of(data).String()
		committedSize := func(b *testClient) int64 {
			t.Helper()
			st, err := b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
			if err != nil || st.Complete {
				t.Fatalf("write status: %v, error %v; want a status that is not complete", st, err)
			}
			return st.CommittedSize
		}
		a, b := s.clients[0], s.clients[1]
		if _, err := a.upload(name, sent[:700_000], 0, chunkSize, false); err == nil {
			t.Fatal("an unfinished write succeeded")
		}
		s.killAndRestart(t, 0)
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) { // until the client has reconnected
			if _, err := a.bytes.QueryWriteStatus(a.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name}); err == nil || time.Now().After(end) {
				break
			}
		}
		if n := committedSize(a); n != 700_000 {
			t.Fatalf("the restarted front end reports %d received bytes, want 700000", n)
		}
		if _, err := a.upload(name, sent[700_000:1_500_000], 700_000, chunkSize, false); err == nil {
			t.Fatal("an unfinished write succeeded")
		}
		if n := committedSize(b); n != 1_500_000 {
			t.Fatalf("the peer reports %d received bytes, want 1500000", n)
		}
		if n, err := b.upload(name, sent[1_500_000:], 1_500_000, chunkSize, true); err != nil || n != int64(len(sent)) {
			t.Fatalf("write resumed on the peer: %d bytes committed, error %v; want %d bytes", n, err, len(sent))
		}
		got, err := a.download("blobs/"+blobstore.Of(data).String(), 0, 0)
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("download after the resumed write (compressed %v): %d bytes, error %v; want the %d bytes written", compressed, len(got), err, len(data))
		}
	}
}

// A client that resumes a write while the front end that received its data is down gets
// Unavailable. If all front ends are up and none has the data up to the offset, it gets
// InvalidArgument.
func TestResumptionWhileFrontEndIsDown(t *testing.T) {
	s := startGroup(t, 2, 1)
	data := randomBytes(1_000_000)
	name := "uploads/u/blobs/" + blobstore.Of(data).String()
	a, b := s.clients[0], s.clients[1]
	if _, err := a.upload(name, data[:500_000], 0, chunkSize, false); err == nil {
		t.Fatal("an unfinished write succeeded")
	}
	_, err := b.upload(name, data[600_000:], 600_000, chunkSize, true)
	b.wantCode(err, codes.InvalidArgument)
	s.servers[0].Stop()
	_, err = b.upload(name, data[500_000:], 500_000, chunkSize, true)
	b.wantCode(err, codes.Unavailable)
	if n, err := b.upload(name, data, 0, chunkSize, true); err != nil || n != int64(len(data)) {
		t.Errorf("restarted write: %d bytes committed, error %v; want %d bytes", n, err, len(data))
	}
}
