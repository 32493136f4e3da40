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

// kill ends a gate as kill -9 would and starts it again on what it has left, at its
// address.
func (s *several) kill(t *testing.T, i int) {
	t.Helper()
	old := s.gates[i]
	s.servers[i].Stop()
	_ = s.stores[i].Close()
	store, _, err := blobstore.Open(filepath.Join(s.dirs[i], "content"), roomy)
	if err != nil {
		t.Fatal(err)
	}
	results, err := blobstore.OpenResults(filepath.Join(s.dirs[i], "results"), 100)
	if err != nil {
		t.Fatal(err)
	}
	g := New(old.config, store, results, everyone{}, old.peers, old.jobs, slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", old.config.Self)
	if err != nil {
		t.Fatal(err)
	}
	server := g.Server()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Stop(); _ = store.Close() })
	s.gates[i], s.stores[i], s.servers[i] = g, store, server
}

// A write that breaks is gone on with after its gate was killed, and at another
// gate, compressed or not, with no byte sent twice.
func TestWritesOutliveTheirGate(t *testing.T) {
	for _, compressed := range []bool{false, true} {
		s := startSeveral(t, 2, 1)
		data := random(2_500_000)
		sent, kind := data, "blobs/"
		if compressed {
			sent, kind = pack(data), "compressed-blobs/zstd/"
		}
		name := "uploads/u/" + kind + blobstore.Of(data).String()
		status := func(b *build) int64 {
			t.Helper()
			st, err := b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
			if err != nil || st.Complete {
				t.Fatal(st, err)
			}
			return st.CommittedSize
		}
		a, b := s.clients[0], s.clients[1]
		if _, err := a.upload(name, sent[:700_000], 0, chunk, false); err == nil {
			t.Fatal("an unfinished write was answered")
		}
		s.kill(t, 0)
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) { // the connection comes back
			if _, err := a.bytes.QueryWriteStatus(a.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name}); err == nil || time.Now().After(end) {
				break
			}
		}
		if n := status(a); n != 700_000 {
			t.Fatalf("after a kill %d bytes are known", n)
		}
		if _, err := a.upload(name, sent[700_000:1_500_000], 700_000, chunk, false); err == nil {
			t.Fatal("an unfinished write was answered")
		}
		if n := status(b); n != 1_500_000 {
			t.Fatalf("another gate knows of %d bytes", n)
		}
		if n, err := b.upload(name, sent[1_500_000:], 1_500_000, chunk, true); err != nil || n != int64(len(sent)) {
			t.Fatal(n, err)
		}
		got, err := a.download("blobs/"+blobstore.Of(data).String(), 0, 0)
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("compressed %v: %v", compressed, err)
		}
	}
}

// Who goes on at a gate while the one where he began is down is told to ask again;
// with all gates there, an offset that nobody has is his own mistake.
func TestAWriteWhoseGateIsDown(t *testing.T) {
	s := startSeveral(t, 2, 1)
	data := random(1_000_000)
	name := "uploads/u/blobs/" + blobstore.Of(data).String()
	a, b := s.clients[0], s.clients[1]
	if _, err := a.upload(name, data[:500_000], 0, chunk, false); err == nil {
		t.Fatal("an unfinished write was answered")
	}
	_, err := b.upload(name, data[600_000:], 600_000, chunk, true)
	b.code(err, codes.InvalidArgument)
	s.servers[0].Stop()
	_, err = b.upload(name, data[500_000:], 500_000, chunk, true)
	b.code(err, codes.Unavailable)
	if n, err := b.upload(name, data, 0, chunk, true); err != nil || n != int64(len(data)) {
		t.Error(n, err)
	}
}
