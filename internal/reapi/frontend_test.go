package reapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// allowedCalls is an Access that allows the listed calls, given as "{credential} {verb} {team}".
type allowedCalls map[string]bool

func (r allowedCalls) Allows(_ context.Context, credential, verb, team string) (string, error) {
	if credential == "" {
		return "", status.Error(codes.Unauthenticated, "no token")
	}
	if !r[credential+" "+verb+" "+team] {
		return "", status.Error(codes.PermissionDenied, "not allowed")
	}
	return credential, nil
}

// testClient is a fake build tool: a client of a front end.
type testClient struct {
	t     *testing.T
	ctx   context.Context
	cas   repb.ContentAddressableStorageClient
	ac    repb.ActionCacheClient
	bytes bytestream.ByteStreamClient
	conn  *grpc.ClientConn
}

// startFrontEnd starts a front end on loopback that does not execute actions. It returns a client of
// the front end, and its blob store.
func startFrontEnd(t *testing.T, config Config, access Access, opt blobstore.Options) (*testClient, *blobstore.Store) {
	t.Helper()
	b, f := startWithJobs(t, config, access, opt, nil)
	return b, f.store
}

// startWithJobs starts a front end on loopback that submits actions to jobs. It returns a
// client of the front end.
func startWithJobs(t *testing.T, config Config, access Access, opt blobstore.Options, jobs Jobs) (*testClient, *FrontEnd) {
	t.Helper()
	dir := t.TempDir()
	store, _, err := blobstore.Open(filepath.Join(dir, "content"), opt)
	if err != nil {
		t.Fatal(err)
	}
	results, err := blobstore.OpenResults(filepath.Join(dir, "results"), 1000)
	if err != nil {
		t.Fatal(err)
	}
	config.MaxBlob, config.Class = opt.MaxBlob, "build"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := New(config, store, results, access, nil, jobs, slog.New(slog.DiscardHandler))
	server := f.Server()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Stop(); _ = store.Close() })
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return &testClient{t, ctx, repb.NewContentAddressableStorageClient(conn), repb.NewActionCacheClient(conn), bytestream.NewByteStreamClient(conn), conn}, f
}

func (b *testClient) as(credential string) *testClient {
	c := *b
	c.ctx = metadata.AppendToOutgoingContext(b.ctx, "authorization", credential)
	return &c
}

var (
	twoTeams   = Config{Instances: map[string]string{"": "red", "a/b": "blue"}, ClientResults: true, BatchDelay: 50 * time.Millisecond, MaxBatchActions: 256}
	largeStore = blobstore.Options{MaxBytes: 64 << 20, MaxBlob: 32 << 20, Retention: time.Minute}
)

func randomBytes(n int) []byte {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return data
}

func (b *testClient) wantCode(err error, want codes.Code) {
	b.t.Helper()
	if status.Code(err) != want {
		b.t.Errorf("got error %v, want code %s", err, want)
	}
}

// upload writes data with ByteStream.Write, in messages of the given size, and returns the
// committed size.
func (b *testClient) upload(name string, data []byte, offset int64, messageSize int, finish bool) (int64, error) {
	w, err := b.bytes.Write(b.ctx)
	if err != nil {
		return 0, err
	}
	for first := true; first || len(data) > 0; first = false {
		part := data[:min(len(data), messageSize)]
		data = data[len(part):]
		req := &bytestream.WriteRequest{WriteOffset: offset, Data: part, FinishWrite: finish && len(data) == 0}
		if first {
			req.ResourceName = name
		}
		if err := w.Send(req); err != nil {
			break // CloseAndRecv returns the error
		}
		offset += int64(len(part))
	}
	resp, err := w.CloseAndRecv()
	return resp.GetCommittedSize(), err
}

func (b *testClient) download(name string, offset, limit int64) ([]byte, error) {
	var out bytes.Buffer
	err := b.downloadTo(&out, name, offset, limit)
	return out.Bytes(), err
}

func (b *testClient) downloadTo(w io.Writer, name string, offset, limit int64) error {
	r, err := b.bytes.Read(b.ctx, &bytestream.ReadRequest{ResourceName: name, ReadOffset: offset, ReadLimit: limit})
	if err != nil {
		return err
	}
	for {
		m, err := r.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(m.GetData()); err != nil {
			return err
		}
	}
}

func compressZstd(data []byte) []byte {
	enc, _ := zstd.NewWriter(nil)
	return enc.EncodeAll(data, nil)
}

func TestByteStream(t *testing.T) {
	b, _ := startFrontEnd(t, twoTeams, OpenAccess{}, largeStore)
	data := bytes.Repeat(randomBytes(1000), 3000)
	d := blobstore.Of(data)
	if n, err := b.upload("uploads/1/blobs/"+d.String(), data, 0, 100_000, true); err != nil || n != d.Size {
		t.Fatalf("upload: %d bytes committed, error %v; want all %d bytes committed", n, err, d.Size)
	}
	// The blob exists now, so the front end answers after the first message.
	if n, err := b.upload("uploads/2/blobs/"+d.String()+"/some/file.name", data, 0, 100_000, true); err != nil || n != d.Size {
		t.Errorf("upload of an existing blob: %d bytes committed, error %v; want all %d bytes committed", n, err, d.Size)
	}
	for _, tc := range []struct{ offset, limit int64 }{{0, 0}, {1, 0}, {5000, 777}, {d.Size, 0}, {d.Size - 1, 100}} {
		want := data[tc.offset:]
		if tc.limit > 0 {
			want = want[:min(tc.limit, int64(len(want)))]
		}
		if got, err := b.download("blobs/"+d.String(), tc.offset, tc.limit); err != nil || !bytes.Equal(got, want) {
			t.Errorf("download of %+v: %d bytes, error %v; want the %d stored bytes of this range", tc, len(got), err, len(want))
		}
	}
	compressed, err := b.download("compressed-blobs/zstd/"+d.String(), 1000, 0)
	if err != nil || len(compressed) > len(data)/10 {
		t.Errorf("compressed download: %d bytes, error %v; want at most a tenth of %d bytes", len(compressed), err, len(data))
	}
	dec, _ := zstd.NewReader(nil)
	if got, err := dec.DecodeAll(compressed, nil); err != nil || !bytes.Equal(got, data[1000:]) {
		t.Errorf("decompressed download: %d bytes, error %v; want the stored bytes from offset 1000", len(got), err)
	}
	// A blob that was uploaded compressed can be downloaded uncompressed.
	other := bytes.Repeat([]byte("compile "), 50_000)
	o := blobstore.Of(other)
	if n, err := b.upload("a/b/uploads/3/compressed-blobs/zstd/"+o.String(), compressZstd(other), 0, 1000, true); err != nil || n != int64(len(compressZstd(other))) {
		t.Errorf("compressed upload: %d bytes committed, error %v; want all %d compressed bytes committed", n, err, len(compressZstd(other)))
	}
	if got, err := b.download("a/b/blobs/"+o.String(), 0, 0); err != nil || !bytes.Equal(got, other) {
		t.Errorf("download after a compressed upload: %d bytes, error %v; want the %d uncompressed bytes", len(got), err, len(other))
	}
	_, err = b.download("blobs/"+o.String(), 0, 0) // the blob belongs to the other team
	b.wantCode(err, codes.NotFound)
	for name, want := range map[string]codes.Code{
		"blobs/" + d.Hash + "/1": codes.NotFound, "blobs/xyz/1": codes.InvalidArgument, "blobs/" + d.Hash: codes.InvalidArgument,
		"blobs/" + d.Hash + "/01": codes.InvalidArgument, "nowhere/blobs/" + d.String(): codes.InvalidArgument, "": codes.InvalidArgument,
		"compressed-blobs/brotli/" + d.String(): codes.InvalidArgument, "blobs/" + d.Hash + "/-5": codes.InvalidArgument,
		"blobs/" + blobstore.Empty.String(): codes.OK,
	} {
		_, err := b.download(name, 0, 0)
		if status.Code(err) != want {
			t.Errorf("download of %q: got error %v, want code %s", name, err, want)
		}
	}
	_, err = b.download("blobs/"+d.String(), d.Size+1, 0)
	b.wantCode(err, codes.OutOfRange)
	_, err = b.download("compressed-blobs/zstd/"+d.String(), 0, 5)
	b.wantCode(err, codes.InvalidArgument)
}

// An interrupted write can be resumed at its offset. A write whose data does not match its
// digest is rejected and uses no space afterwards.
func TestInterruptedAndInvalidWrites(t *testing.T) {
	b, store := startFrontEnd(t, twoTeams, OpenAccess{}, largeStore)
	for _, compressed := range []bool{false, true} {
		data := randomBytes(900_000)
		d := blobstore.Of(data)
		sent, kind := data, "blobs/"
		if compressed {
			sent, kind = compressZstd(data), "compressed-blobs/zstd/"
		}
		name := "uploads/broken/" + kind + d.String()
		_, err := b.upload(name, sent[:300_000], 0, 64_000, false)
		b.wantCode(err, codes.InvalidArgument) // ended without being finished
		st, err := b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
		if err != nil || st.CommittedSize != 300_000 || st.Complete {
			t.Fatalf("status of the interrupted write: %v, error %v; want 300000 bytes received and not complete", st, err)
		}
		_, err = b.upload(name, sent[100:], 100, 64_000, true)
		b.wantCode(err, codes.InvalidArgument) // the offset differs from the number of bytes received
		if n, err := b.upload(name, sent[300_000:], 300_000, 64_000, true); err != nil || n != int64(len(sent)) {
			t.Fatalf("resumed write (compressed %v): %d bytes committed, error %v; want all %d bytes committed", compressed, n, err, len(sent))
		}
		if got, err := b.download("blobs/"+d.String(), 0, 0); err != nil || !bytes.Equal(got, data) {
			t.Errorf("download after the resumed write: %d bytes, error %v; want the %d bytes written", len(got), err, len(data))
		}
		st, err = b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
		if err != nil || !st.Complete || st.CommittedSize != d.Size {
			t.Errorf("status of the finished write: %v, error %v; want complete with %d bytes", st, err, d.Size)
		}
	}
	before := store.Stats().Bytes
	mismatched := blobstore.Of(randomBytes(5000))
	for name, data := range map[string][]byte{
		"uploads/l1/blobs/" + mismatched.String():                             randomBytes(5000),
		"uploads/l2/blobs/" + mismatched.String():                             randomBytes(5001),
		"uploads/l3/blobs/" + mismatched.String():                             randomBytes(10),
		"uploads/l4/compressed-blobs/zstd/" + mismatched.String():             randomBytes(5000),
		"uploads/l5/compressed-blobs/zstd/" + mismatched.String():             compressZstd(randomBytes(5000)),
		"uploads/l6/compressed-blobs/zstd/" + mismatched.String():             compressZstd(make([]byte, 30<<20)), // a decompression bomb
		"uploads/l7/compressed-blobs/zstd/" + mismatched.String():             compressZstd(randomBytes(5000))[:2000],
		"uploads/l8/blobs/" + blobstore.Of(nil).Hash[:63] + "0/" + "40000000": randomBytes(10), // larger than the store accepts
	} {
		_, err := b.upload(name, data, 0, 1000, true)
		if status.Code(err) != codes.InvalidArgument {
			t.Errorf("write of invalid data to %s: got error %v, want code InvalidArgument", name, err)
		}
	}
	for end := time.Now().Add(5 * time.Second); store.Stats().Bytes != before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the store uses %d bytes after rejected writes, %d before", store.Stats().Bytes, before)
		}
	}
}

func TestBatches(t *testing.T) {
	b, _ := startFrontEnd(t, twoTeams, OpenAccess{}, largeStore)
	good, compressible, mismatched := randomBytes(1000), bytes.Repeat([]byte("a"), 2000), randomBytes(10)
	resp, err := b.cas.BatchUpdateBlobs(b.ctx, &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{
		{Digest: digestToProto(blobstore.Of(good)), Data: good},
		{Digest: digestToProto(blobstore.Of(compressible)), Data: compressZstd(compressible), Compressor: repb.Compressor_ZSTD},
		{Digest: digestToProto(blobstore.Of(mismatched)), Data: randomBytes(10)},
		{Digest: digestToProto(blobstore.Of(mismatched)), Data: compressZstd(make([]byte, 20<<20)), Compressor: repb.Compressor_ZSTD},
		{Digest: digestToProto(blobstore.Of(mismatched)), Data: mismatched, Compressor: repb.Compressor_BROTLI},
		{Data: nil},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []codes.Code{codes.OK, codes.OK, codes.InvalidArgument, codes.InvalidArgument, codes.InvalidArgument, codes.InvalidArgument} {
		if got := codes.Code(resp.Responses[i].GetStatus().GetCode()); got != want {
			t.Errorf("update %d of the batch: got code %s, want %s", i, got, want)
		}
	}
	read, err := b.cas.BatchReadBlobs(b.ctx, &repb.BatchReadBlobsRequest{Digests: []*repb.Digest{digestToProto(blobstore.Of(good)), digestToProto(blobstore.Of(compressible)), digestToProto(blobstore.Of(mismatched)), digestToProto(blobstore.Empty)}})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range [][]byte{good, compressible, nil, {}} {
		r := read.Responses[i]
		if want == nil && codes.Code(r.GetStatus().GetCode()) != codes.NotFound || !bytes.Equal(r.GetData(), want) {
			t.Errorf("read %d of the batch: %d bytes with status %v, want %d bytes, or NotFound for the absent blob", i, len(r.GetData()), r.GetStatus(), len(want))
		}
	}
	miss, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{digestToProto(blobstore.Of(good)), digestToProto(blobstore.Of(mismatched)), digestToProto(blobstore.Empty)}})
	if err != nil || len(miss.MissingBlobDigests) != 1 || miss.MissingBlobDigests[0].Hash != blobstore.Of(mismatched).Hash {
		t.Errorf("missing blobs: %v, error %v; want only the blob that was not stored", miss, err)
	}
	_, err = b.cas.BatchReadBlobs(b.ctx, &repb.BatchReadBlobsRequest{Digests: []*repb.Digest{{Hash: blobstore.Empty.Hash, SizeBytes: 5 << 20}}})
	b.wantCode(err, codes.InvalidArgument)
	_, err = b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{DigestFunction: repb.DigestFunction_MD5})
	b.wantCode(err, codes.InvalidArgument)
	big := randomBytes(maxMessageBytes + 1)
	_, err = b.cas.BatchUpdateBlobs(b.ctx, &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: digestToProto(blobstore.Of(big)), Data: big}}})
	b.wantCode(err, codes.ResourceExhausted) // rejected by gRPC's limit on the message size
}

// uploadMessage uploads a protobuf message and returns its digest.
func (b *testClient) uploadMessage(m proto.Message) *repb.Digest {
	b.t.Helper()
	raw, err := proto.Marshal(m)
	if err != nil {
		b.t.Fatal(err)
	}
	return b.uploadBlob(raw)
}

func (b *testClient) uploadBlob(raw []byte) *repb.Digest {
	b.t.Helper()
	d := digestToProto(blobstore.Of(raw))
	resp, err := b.cas.BatchUpdateBlobs(b.ctx, &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: d, Data: raw}}})
	if err != nil || resp.Responses[0].GetStatus().GetCode() != 0 {
		b.t.Fatalf("upload of a blob: response %v, error %v", resp, err)
	}
	return d
}

func TestGetTree(t *testing.T) {
	b, _ := startFrontEnd(t, twoTeams, OpenAccess{}, largeStore)
	leaf := b.uploadMessage(&repb.Directory{Files: []*repb.FileNode{{Name: "f"}}})
	var mids []*repb.DirectoryNode
	for i := range 25 {
		mid := b.uploadMessage(&repb.Directory{Directories: []*repb.DirectoryNode{{Name: fmt.Sprintf("d%d", i), Digest: leaf}}})
		mids = append(mids, &repb.DirectoryNode{Name: fmt.Sprintf("m%02d", i), Digest: mid})
	}
	root := b.uploadMessage(&repb.Directory{Directories: mids})
	walk := func(size int32, token string) (names []string, tokens []string, err error) {
		s, err := b.cas.GetTree(b.ctx, &repb.GetTreeRequest{RootDigest: root, PageSize: size, PageToken: token})
		if err != nil {
			return nil, nil, err
		}
		for {
			p, err := s.Recv()
			if errors.Is(err, io.EOF) {
				return names, tokens, nil
			}
			if err != nil {
				return names, tokens, err
			}
			if size > 0 && len(p.Directories) > int(size) {
				t.Errorf("a page has %d directories, more than the requested page size", len(p.Directories))
			}
			for _, d := range p.Directories {
				names = append(names, d.String())
			}
			tokens = append(tokens, p.NextPageToken)
		}
	}
	all, _, err := walk(0, "")
	if err != nil || len(all) != 27 { // the leaf occurs once, though 25 directories contain it
		t.Fatalf("GetTree returned %d directories with error %v, want 27 directories", len(all), err)
	}
	paged, tokens, err := walk(4, "")
	if err != nil || strings.Join(paged, "|") != strings.Join(all, "|") || tokens[len(tokens)-1] != "" {
		t.Errorf("walk in pages of 4: %d directories differ from the complete list, or the last page token is not empty: %v", len(paged), err)
	}
	rest, _, err := walk(4, tokens[2])
	if err != nil || strings.Join(rest, "|") != strings.Join(all[12:], "|") {
		t.Errorf("walk from the third page token: %d directories are not the remaining ones: %v", len(rest), err)
	}
	_, _, err = walk(4, "x")
	b.wantCode(err, codes.InvalidArgument)
	missing := b.uploadMessage(&repb.Directory{Directories: []*repb.DirectoryNode{{Name: "x", Digest: digestToProto(blobstore.Of(randomBytes(5)))}}})
	s, err := b.cas.GetTree(b.ctx, &repb.GetTreeRequest{RootDigest: missing})
	if err == nil {
		for err == nil {
			_, err = s.Recv()
		}
	}
	b.wantCode(err, codes.NotFound)
}

// A result is returned only if all blobs that it references exist. A second result replaces
// the first only if a blob of the first is lost.
func TestActionCache(t *testing.T) {
	b, store := startFrontEnd(t, twoTeams, OpenAccess{}, blobstore.Options{MaxBytes: 100_000, MaxBlob: 50_000})
	action := digestToProto(blobstore.Of([]byte("action")))
	out, inTree := b.uploadBlob(randomBytes(3000)), b.uploadBlob(randomBytes(1000))
	tree := b.uploadMessage(&repb.Tree{Root: &repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: inTree}}}})
	result := &repb.ActionResult{ExitCode: 3, OutputFiles: []*repb.OutputFile{{Path: "o", Digest: out}}, OutputDirectories: []*repb.OutputDirectory{{Path: "d", TreeDigest: tree}}}
	get := func() (*repb.ActionResult, error) {
		return b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{ActionDigest: action})
	}
	update := func(r *repb.ActionResult) (*repb.ActionResult, error) {
		return b.ac.UpdateActionResult(b.ctx, &repb.UpdateActionResultRequest{ActionDigest: action, ActionResult: r})
	}
	_, err := get()
	b.wantCode(err, codes.NotFound)
	_, err = update(&repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "o", Digest: digestToProto(blobstore.Of(randomBytes(7)))}}})
	b.wantCode(err, codes.FailedPrecondition)
	_, err = update(nil)
	b.wantCode(err, codes.InvalidArgument)
	if _, err := update(result); err != nil {
		t.Fatal(err)
	}
	if got, err := get(); err != nil || !proto.Equal(got, result) {
		t.Errorf("stored result: got %v, error %v; want %v", got, err, result)
	}
	if got, err := update(&repb.ActionResult{ExitCode: 4}); err != nil || got.ExitCode != 3 {
		t.Errorf("update with a second result returned %v, error %v; want the first result, with exit code 3", got, err)
	}
	_, err = b.ac.GetActionResult(b.ctx, &repb.GetActionResultRequest{InstanceName: "a/b", ActionDigest: action})
	b.wantCode(err, codes.NotFound) // the result belongs to the other team
	// Uploads evict the file in the tree, while the other blobs of the result stay in use.
	for range 20 { // exceeds the capacity of the store
		b.uploadBlob(randomBytes(10_000))
		store.FindMissing("red", []blobstore.Digest{digestOf(out), digestOf(tree)})
	}
	_, err = get()
	b.wantCode(err, codes.NotFound)
	if got, err := update(&repb.ActionResult{ExitCode: 4}); err != nil || got.ExitCode != 4 {
		t.Errorf("update of a result with lost outputs returned %v, error %v; want the new result, with exit code 4", got, err)
	}
	noClientResults := twoTeams
	noClientResults.ClientResults = false
	b2, _ := startFrontEnd(t, noClientResults, OpenAccess{}, largeStore)
	_, err = b2.ac.UpdateActionResult(b2.ctx, &repb.UpdateActionResultRequest{ActionDigest: action, ActionResult: result})
	b2.wantCode(err, codes.PermissionDenied)
	caps, err := repb.NewCapabilitiesClient(b2.conn).GetCapabilities(b2.ctx, &repb.GetCapabilitiesRequest{})
	if err != nil || caps.CacheCapabilities.ActionCacheUpdateCapabilities.UpdateEnabled || caps.ExecutionCapabilities.GetExecEnabled() {
		t.Errorf("capabilities without client results and execution: %v, error %v; want both disabled", caps, err)
	}
}

// A full store rejects writes immediately, with a retry delay.
func TestFullStore(t *testing.T) {
	b, _ := startFrontEnd(t, twoTeams, OpenAccess{}, blobstore.Options{MaxBytes: 10_000, MaxBlob: 10_000, Retention: 30 * time.Second})
	b.uploadBlob(randomBytes(8000))
	data := randomBytes(5000)
	started := time.Now()
	_, err := b.upload("uploads/1/blobs/"+blobstore.Of(data).String(), data, 0, 1000, true)
	b.wantCode(err, codes.ResourceExhausted)
	delay := time.Duration(0)
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			delay = r.RetryDelay.AsDuration()
		}
	}
	if delay < 20*time.Second || delay > 31*time.Second || time.Since(started) > 5*time.Second {
		t.Errorf("write to a full store: retry delay of %s, rejected after %s; want a delay of 20s to 31s, and at most 5s until the rejection", delay, time.Since(started))
	}
}

// Every call is authorized, and a team's blobs are not accessible to other teams.
func TestRights(t *testing.T) {
	rights := allowedCalls{"anna submit red": true, "anna view-arguments red": true, "bob view-arguments red": true, "eve submit blue": true, "eve view-arguments blue": true}
	b, _ := startFrontEnd(t, twoTeams, rights, largeStore)
	data := randomBytes(2000)
	d := digestToProto(blobstore.Of(data))
	b.as("anna").uploadBlob(data)
	calls := map[string]func(c *testClient, instance string) error{
		"find": func(c *testClient, i string) error {
			_, err := c.cas.FindMissingBlobs(c.ctx, &repb.FindMissingBlobsRequest{InstanceName: i, BlobDigests: []*repb.Digest{d}})
			return err
		},
		"batch read": func(c *testClient, i string) error {
			_, err := c.cas.BatchReadBlobs(c.ctx, &repb.BatchReadBlobsRequest{InstanceName: i, Digests: []*repb.Digest{d}})
			return err
		},
		"read": func(c *testClient, i string) error {
			_, err := c.download(strings.TrimPrefix(i+"/", "/")+"blobs/"+blobstore.Of(data).String(), 0, 0)
			return err
		},
		"result": func(c *testClient, i string) error {
			_, err := c.ac.GetActionResult(c.ctx, &repb.GetActionResultRequest{InstanceName: i, ActionDigest: d})
			return err
		},
		"batch update": func(c *testClient, i string) error {
			_, err := c.cas.BatchUpdateBlobs(c.ctx, &repb.BatchUpdateBlobsRequest{InstanceName: i})
			return err
		},
		"write": func(c *testClient, i string) error {
			_, err := c.upload(strings.TrimPrefix(i+"/", "/")+"uploads/1/blobs/"+blobstore.Of(data).String(), data, 0, 1000, true)
			return err
		},
		"update": func(c *testClient, i string) error {
			_, err := c.ac.UpdateActionResult(c.ctx, &repb.UpdateActionResultRequest{InstanceName: i, ActionDigest: d, ActionResult: &repb.ActionResult{}})
			return err
		},
	}
	for name, call := range calls {
		writes := name == "batch update" || name == "write" || name == "update"
		b.wantCode(call(b, ""), codes.Unauthenticated)
		b.wantCode(call(b.as("eve"), ""), codes.PermissionDenied)
		b.wantCode(call(b.as("anna"), "a/b"), codes.PermissionDenied)
		b.wantCode(call(b.as("anna"), "none"), codes.InvalidArgument)
		if err := call(b.as("bob"), ""); writes {
			b.wantCode(err, codes.PermissionDenied)
		} else if c := status.Code(err); c != codes.OK && c != codes.NotFound {
			t.Errorf("%s by a client that may only read: got error %v, want OK or NotFound", name, err)
		}
	}
	got, err := b.as("eve").cas.FindMissingBlobs(b.as("eve").ctx, &repb.FindMissingBlobsRequest{InstanceName: "a/b", BlobDigests: []*repb.Digest{d}})
	if err != nil || len(got.MissingBlobDigests) != 1 {
		t.Errorf("query for another team's blob: missing blobs %v, error %v; want the blob reported as missing", got, err)
	}
	if h, err := healthpb.NewHealthClient(b.conn).Check(b.ctx, &healthpb.HealthCheckRequest{}); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health check: %v, error %v; want status SERVING", h, err)
	}
}

// Many clients upload and download the same blobs concurrently.
func TestManyClients(t *testing.T) {
	b, store := startFrontEnd(t, twoTeams, OpenAccess{}, largeStore)
	blobs := make([][]byte, 8)
	for i := range blobs {
		blobs[i] = randomBytes(50_000 * (i + 1))
	}
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for i := range blobs {
				data := blobs[(c+i)%len(blobs)]
				d := blobstore.Of(data)
				if _, err := b.upload(fmt.Sprintf("uploads/%d/blobs/%s", c, d), data, 0, 30_000, true); err != nil {
					t.Errorf("upload: %v", err)
				}
				if got, err := b.download("blobs/"+d.String(), 0, 0); err != nil || !bytes.Equal(got, data) {
					t.Errorf("download: %d bytes, error %v; want the %d bytes uploaded", len(got), err, len(data))
				}
			}
		})
	}
	wg.Wait()
	if st := store.Stats(); st.Blobs != len(blobs) || st.Bytes != 50_000*36 {
		t.Errorf("store statistics %+v, want each of the %d blobs once", st, len(blobs))
	}
}

func FuzzResourceName(f *testing.F) {
	f.Add("a/b/uploads/1/blobs/"+blobstore.Empty.String(), true)
	f.Add("compressed-blobs/zstd/"+blobstore.Empty.String(), false)
	f.Fuzz(func(t *testing.T, name string, write bool) {
		r, err := parseResource(name, write)
		if err == nil && r.digest.Check() != nil {
			t.Errorf("resource name %q with an invalid digest was accepted", name)
		}
	})
}

// digestOf converts a digest of the API to a SHA-256 digest.
func digestOf(d *repb.Digest) blobstore.Digest { return digestFromProto(blobstore.SHA256, d) }
