package reapi

import (
	"bytes"
	"context"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/repair"
)

// group is a group of front ends that are peers of each other.
type group struct {
	clients   []*testClient
	stores    []*blobstore.Store
	servers   []*grpc.Server
	peers     []*Peers
	frontEnds []*FrontEnd
	dirs      []string
}

// startGroup starts a group of n front ends that execute nothing.
func startGroup(t *testing.T, n, copies int) *group {
	t.Helper()
	return startGroupWith(t, n, copies, nil)
}

// startGroupWith starts a group of n front ends that submit actions to the given controllers.
func startGroupWith(t *testing.T, n, copies int, jobs Jobs) *group {
	t.Helper()
	var s group
	var listeners []net.Listener
	conns := map[string]*grpc.ClientConn{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns[l.Addr().String()] = conn
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	for i, l := range listeners {
		dir := t.TempDir()
		store, _, err := blobstore.Open(filepath.Join(dir, "content"), largeStore)
		if err != nil {
			t.Fatal(err)
		}
		results, err := blobstore.OpenResults(filepath.Join(dir, "results"), 100)
		if err != nil {
			t.Fatal(err)
		}
		others := map[string]*grpc.ClientConn{}
		for addr, c := range conns {
			if addr != l.Addr().String() {
				others[addr] = c
			}
		}
		config := twoTeams
		config.MaxBlob = largeStore.MaxBlob
		config.Class, config.SelfAddr = "build", l.Addr().String()
		config.IsPeer = func(context.Context) bool { return true }
		peers := NewPeers(copies, others, slog.New(slog.DiscardHandler))
		f := New(config, store, results, allowAll{}, peers, jobs, slog.New(slog.DiscardHandler))
		s.frontEnds, s.dirs = append(s.frontEnds, f), append(s.dirs, dir)
		server := f.Server()
		go func() { _ = server.Serve(listeners[i]) }()
		t.Cleanup(func() { server.Stop(); _ = store.Close() })
		conn := conns[l.Addr().String()]
		s.clients = append(s.clients, &testClient{t, ctx, repb.NewContentAddressableStorageClient(conn), repb.NewActionCacheClient(conn), bytestream.NewByteStreamClient(conn), conn})
		s.stores, s.servers, s.peers = append(s.stores, store), append(s.servers, server), append(s.peers, peers)
	}
	return &s
}

// Every front end serves blobs and results that were written to a peer.
func TestReadThroughPeers(t *testing.T) {
	s := startGroup(t, 3, 1)
	a, c := s.clients[0], s.clients[2]
	small, large := randomBytes(1000), randomBytes(3_000_000)
	d := a.uploadBlob(small)
	if _, err := a.upload("uploads/1/blobs/"+blobstore.Of(large).String(), large, 0, 500_000, true); err != nil {
		t.Fatal(err)
	}
	if s.stores[2].Stats().Blobs != 0 {
		t.Fatal("a blob was replicated though the replication factor is 1")
	}
	action := digestToProto(blobstore.Of([]byte("action")))
	result := &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: d}, {Path: "p", Digest: digestToProto(blobstore.Of(large))}}}
	if _, err := a.ac.UpdateActionResult(a.ctx, &repb.UpdateActionResultRequest{ActionDigest: action, ActionResult: result}); err != nil {
		t.Fatal(err)
	}
	if got, err := c.ac.GetActionResult(c.ctx, &repb.GetActionResultRequest{ActionDigest: action}); err != nil || !proto.Equal(got, result) {
		t.Errorf("result read through a peer = %v, %v; want %v", got, err, result)
	}
	nowhere := digestToProto(blobstore.Of(randomBytes(10)))
	miss, err := c.cas.FindMissingBlobs(c.ctx, &repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{d, digestToProto(blobstore.Of(large)), nowhere}})
	if err != nil || len(miss.MissingBlobDigests) != 1 || miss.MissingBlobDigests[0].Hash != nowhere.Hash {
		t.Errorf("missing blobs = %v, %v; want only %v", miss, err, nowhere)
	}
	if got, err := c.download("blobs/"+blobstore.Of(large).String(), 0, 0); err != nil || !bytes.Equal(got, large) {
		t.Errorf("large blob read through a peer: %d bytes, error %v; want its %d bytes", len(got), err, len(large))
	}
	if got, err := c.cas.BatchReadBlobs(c.ctx, &repb.BatchReadBlobsRequest{Digests: []*repb.Digest{d}}); err != nil || !bytes.Equal(got.Responses[0].Data, small) {
		t.Errorf("small blob read through a peer = %v, %v; want its data", got, err)
	}
	_, err = c.download("blobs/"+digestOf(nowhere).String(), 0, 0)
	c.wantCode(err, codes.NotFound)
	// A call marked as a peer's is answered from the front end's own store.
	mark := &testClient{c.t, metadata.AppendToOutgoingContext(c.ctx, peerMetadataKey, "1"), c.cas, c.ac, c.bytes, c.conn}
	_, err = mark.ac.GetActionResult(mark.ctx, &repb.GetActionResultRequest{ActionDigest: action})
	mark.wantCode(err, codes.NotFound)
}

// Blobs and results survive the loss of one front end. After a second loss, a missing blob can
// be uploaded again.
func TestBlobsSurviveFrontEndLoss(t *testing.T) {
	s := startGroup(t, 3, 2)
	a := s.clients[0]
	var digests []*repb.Digest
	blobs := map[string][]byte{}
	for i := range 20 {
		data := randomBytes(1000 + 30_000*i)
		d := blobstore.Of(data)
		if _, err := a.upload("uploads/1/blobs/"+d.String(), data, 0, 100_000, true); err != nil {
			t.Fatal(err)
		}
		digests, blobs[d.Hash] = append(digests, digestToProto(d)), data
	}
	if n := s.stores[1].Stats().Blobs + s.stores[2].Stats().Blobs; n != 20 {
		t.Errorf("the peers have %d copies, want 20", n)
	}
	action := digestToProto(blobstore.Of([]byte("action")))
	result := &repb.ActionResult{ExitCode: 7}
	for _, d := range digests {
		result.OutputFiles = append(result.OutputFiles, &repb.OutputFile{Path: d.Hash, Digest: d})
	}
	if _, err := a.ac.UpdateActionResult(a.ctx, &repb.UpdateActionResultRequest{ActionDigest: action, ActionResult: result}); err != nil {
		t.Fatal(err)
	}
	s.servers[0].Stop()
	for _, b := range s.clients[1:] {
		started := time.Now()
		miss, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{BlobDigests: digests})
		if err != nil || len(miss.MissingBlobDigests) > 0 {
			t.Fatalf("missing blobs after the loss of a front end = %v, %v; want none", miss, err)
		}
		for _, d := range digests {
			if got, err := b.download("blobs/"+digestOf(d).String(), 0, 0); err != nil || !bytes.Equal(got, blobs[d.Hash]) {
				t.Errorf("blob read after the loss of a front end: %d bytes, error %v; want its %d bytes", len(got), err, len(blobs[d.Hash]))
			}
		}
		if got, err := b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{ActionDigest: action}); err != nil || !proto.Equal(got, result) {
			t.Errorf("result read after the loss of a front end = %v, %v; want %v", got, err, result)
		}
		if took := time.Since(started); took > 10*time.Second {
			t.Errorf("reading everything after the loss of a front end took %s, want at most 10s", took)
		}
	}
	// Another front end is lost. New blobs have only one copy and are counted as
	// under-replicated.
	b := s.clients[2]
	data := randomBytes(5000)
	s.servers[1].Stop()
	b.uploadBlob(data)
	if n := s.peers[2].UnderReplicated.Load(); n != 1 {
		t.Errorf("%d under-replicated blobs were counted, want 1", n)
	}
	lost := randomBytes(700)
	miss, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{digestToProto(blobstore.Of(lost))}})
	if err != nil || len(miss.MissingBlobDigests) != 1 {
		t.Errorf("missing blobs = %v, %v; want 1", miss, err)
	}
	b.uploadBlob(lost)
	if got, err := b.download("blobs/"+blobstore.Of(lost).String(), 0, 0); err != nil || !bytes.Equal(got, lost) {
		t.Errorf("blob read after it was uploaded again: %d bytes, error %v; want its %d bytes", len(got), err, len(lost))
	}
}

// A front end without peers ignores the metadata that marks calls of peers, so that clients
// cannot bypass authorization.
func TestPeerMarkNeedsVerification(t *testing.T) {
	b, _ := startFrontEnd(t, twoTeams, allowedCalls{}, largeStore)
	b.ctx = metadata.AppendToOutgoingContext(b.ctx, peerMetadataKey, "1")
	_, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{})
	b.wantCode(err, codes.Unauthenticated)
}

// After a front end is lost for good, repair on the others makes new copies of its blobs and
// results.
func TestRepairAfterFrontEndLoss(t *testing.T) {
	s := startGroup(t, 3, 2)
	a := s.clients[0]
	blobs := map[string][]byte{}
	var digests []*repb.Digest
	for i := range 30 {
		data := randomBytes(1000 + 20_000*i)
		if _, err := a.upload("uploads/1/blobs/"+blobstore.Of(data).String(), data, 0, 100_000, true); err != nil {
			t.Fatal(err)
		}
		blobs[blobstore.Of(data).Hash] = data
		digests = append(digests, digestToProto(blobstore.Of(data)))
	}
	action := digestToProto(blobstore.Of([]byte("action")))
	result := &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: digests[0]}}}
	if _, err := a.ac.UpdateActionResult(a.ctx, &repb.UpdateActionResultRequest{ActionDigest: action, ActionResult: result}); err != nil {
		t.Fatal(err)
	}
	s.servers[0].Stop()
	settings := repair.Settings{Copies: 2, BytesPerSecond: 1e9, Interval: time.Minute}
	for i := 1; i < 3; i++ {
		r, err := s.frontEnds[i].Repair(settings, filepath.Join(t.TempDir(), "at"), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Pass(a.ctx); err != nil {
			t.Fatal(err)
		}
		if p := r.Progress(); len(p.Gone) != 1 || p.UnderReplicated != 0 {
			t.Errorf("repair progress of front end %d = %+v, want 1 lost peer and no under-replicated blobs", i, p)
		}
	}
	for i := 1; i < 3; i++ {
		if n := s.stores[i].Stats().Blobs; n != 30 {
			t.Errorf("front end %d has %d blobs, want 30", i, n)
		}
	}
	// Another front end is lost. The last one has all blobs and the result.
	s.servers[1].Stop()
	c := s.clients[2]
	for _, d := range digests {
		if got, err := c.download("blobs/"+digestOf(d).String(), 0, 0); err != nil || !bytes.Equal(got, blobs[d.Hash]) {
			t.Errorf("blob read from the last front end: %d bytes, error %v; want its %d bytes", len(got), err, len(blobs[d.Hash]))
		}
	}
	if _, err := c.ac.GetActionResult(c.ctx, &repb.GetActionResultRequest{ActionDigest: action}); err != nil {
		t.Errorf("result read from the last front end: %v", err)
	}
}

// Repair detects a flipped bit on disk and restores the blob from a peer's copy.
func TestRepairOfAFlippedBit(t *testing.T) {
	s := startGroup(t, 2, 2)
	a := s.clients[0]
	data := randomBytes(100_000)
	d := a.uploadBlob(data)
	file := flipBit(t, s.dirs[0], d.Hash)
	r, err := s.frontEnds[0].Repair(repair.Settings{Copies: 2, BytesPerSecond: 1e9, Interval: time.Minute}, filepath.Join(t.TempDir(), "at"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Pass(a.ctx); err != nil {
		t.Fatal(err)
	}
	if p := r.Progress(); p.Corrupt != 1 || p.Restored != 1 {
		t.Errorf("repair progress = %+v, want 1 corrupt and 1 restored blob", p)
	}
	if got, err := os.ReadFile(file); err != nil || !bytes.Equal(got, data) {
		t.Errorf("restored file: %d bytes, error %v; want the original %d bytes", len(got), err, len(data))
	}
}

// flipBit flips a bit of a blob on disk and returns the path of its file.
func flipBit(t *testing.T, dir, hash string) (file string) {
	t.Helper()
	_ = filepath.WalkDir(dir, func(path string, _ fs.DirEntry, _ error) error {
		if strings.Contains(path, hash) {
			file = path
		}
		return nil
	})
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
