package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"micaspindle/internal/blobstore"
)

// buildProgram builds micaspindle-reapi and returns the path of the executable.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "micaspindle-reapi")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return path
}

// The example settings are valid, and invalid settings are refused with an error that names the
// setting.
func TestSettings(t *testing.T) {
	if _, err := load(filepath.Join("..", "..", "deploy", "gate.yaml")); err != nil {
		t.Errorf("load the example settings: got error %v, want none", err)
	}
	const validSettings = "listen: 127.0.0.1:1\ninstances: {\"\": red}\nstore: {dir: /tmp/x}\n"
	file := filepath.Join(t.TempDir(), "gate.yaml")
	for name, tc := range map[string]struct{ text, want string }{
		"valid":             {validSettings, ""},
		"unknown key":       {validSettings + "port: 3\n", "port"},
		"no address":        {"instances: {a: b}\nstore: {dir: x}\n", "listen"},
		"no instance":       {"listen: 127.0.0.1:1\nstore: {dir: x}\n", "instances"},
		"no folder":         {"listen: 127.0.0.1:1\ninstances: {a: b}\n", "store.dir"},
		"no team":           {"listen: 127.0.0.1:1\ninstances: {a: \"\"}\nstore: {dir: x}\n", "no team"},
		"identity alone":    {validSettings + "identity: {own: x, roots: y}\n", "controllers"},
		"no controllers":    {validSettings + "execute: true\n", "controllers"},
		"no roots":          {validSettings + "controllers: [127.0.0.1:2]\nidentity: {own: x}\n", "own and roots"},
		"bad controller":    {validSettings + "controllers: [x]\n", "controllers"},
		"blob above store":  {strings.Replace(validSettings, "/tmp/x", "x, max_gb: 1, max_blob_mb: 2000", 1), "must fit the store"},
		"few peers":         {validSettings + "copies: 2\n", "copies"},
		"bad peer":          {validSettings + "peers: {x: service/a}\n", "peers"},
		"empty file":        {"", "listen"},
		"shares":            {validSettings + "shares: {weights: {red: 2.5}, bytes_per_second: 1e8, calls: 0}\n", ""},
		"unknown team":      {validSettings + "shares: {weights: {blue: 1}}\n", "weights.blue"},
		"negative weight":   {validSettings + "shares: {weights: {red: -1}}\n", "weights.red"},
		"no actions":        {validSettings + "shares: {actions: 0}\n", "actions"},
		"client above all":  {validSettings + "shares: {actions: 10, actions_client: 11}\n", "actions_client"},
		"quota above 1":     {validSettings + "shares: {store_quota: 1.5}\n", "store_quota"},
		"NaN rate":          {validSettings + "shares: {bytes_per_second: .nan}\n", "bytes_per_second"},
		"no repair rate":    {validSettings + "repair: {bytes_per_second: 0}\n", "repair: bytes_per_second"},
		"peers and no self": {strings.Replace(validSettings, "127.0.0.1:1", "0.0.0.0:1", 1) + "peers: {127.0.0.1:2: service/a}\n", "self"},
		"empty batches":     {validSettings + "gather: {most: 0}\n", "gather"},
		"short interval":    {validSettings + "repair: {every: 1ms}\n", "repair: every"},
		"negative queue":    {validSettings + "shares: {queue: -1}\n", "queue"},
	} {
		if err := os.WriteFile(file, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := load(file)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("load settings %q: got error %v, want an error that contains %q, or no error if that is empty", name, err, tc.want)
		}
	}
}

// frontend is a front end that serves one team, "red", with a connected client.
type frontend struct {
	t        *testing.T
	program  string
	settings string
	log      bytes.Buffer
	process  *exec.Cmd
	cas      repb.ContentAddressableStorageClient
	stream   bytestream.ByteStreamClient
}

// newFrontend builds the program, writes its settings and creates a client. It does not start the
// front end.
func newFrontend(t *testing.T) *frontend {
	t.Helper()
	bin, dir := buildProgram(t), t.TempDir()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	f := &frontend{t: t, program: bin, settings: filepath.Join(dir, "gate.yaml")}
	text := fmt.Sprintf("listen: %s\ninstances: {\"\": red}\nclient_results: true\nstore: {dir: %s, max_gb: 1, max_blob_mb: 100}\n", addr, filepath.Join(dir, "data"))
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.WaitForReady(true)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	f.cas, f.stream = repb.NewContentAddressableStorageClient(conn), bytestream.NewByteStreamClient(conn)
	return f
}

// start starts the front end.
func (f *frontend) start() {
	f.t.Helper()
	f.process = exec.Command(f.program, "--config", f.settings)
	f.process.Stderr = &f.log
	if err := f.process.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// kill ends the front end with SIGKILL, so that it can't clean up.
func (f *frontend) kill() {
	f.t.Helper()
	if err := f.process.Process.Kill(); err != nil {
		f.t.Fatal(err)
	}
	_ = f.process.Wait()
}

// put uploads a small blob.
func (f *frontend) put(ctx context.Context, data []byte) *repb.Digest {
	f.t.Helper()
	digest := digestOf(data)
	resp, err := f.cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: digest, Data: data}}})
	if err != nil || resp.Responses[0].GetStatus().GetCode() != 0 {
		f.t.Fatalf("upload of a small blob: response %v, error %v", resp, err)
	}
	return digest
}

// upload streams the first upTo bytes of a blob. If that is not the whole blob, it abandons the
// upload and returns nil.
func (f *frontend) upload(ctx context.Context, name string, blob []byte, upTo int) (*bytestream.WriteResponse, error) {
	const chunk = 1 << 20
	w, err := f.stream.Write(ctx)
	if err != nil {
		return nil, err
	}
	for at := 0; at < upTo; at += chunk {
		end := min(at+chunk, len(blob))
		if err := w.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: int64(at), Data: blob[at:end], FinishWrite: end == len(blob)}); err != nil {
			break
		}
	}
	if upTo < len(blob) {
		return nil, nil // abandoned
	}
	return w.CloseAndRecv()
}

// digestOf returns the digest of a blob as clients send it.
func digestOf(blob []byte) *repb.Digest {
	d := blobstore.Of(blob)
	return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}
}

// randomBlob returns a random blob of the size.
func randomBlob(size int) []byte {
	blob := make([]byte, size)
	_, _ = rand.Read(blob)
	return blob
}

// After a kill during an upload and a restart, the front end still has all acknowledged blobs,
// reports the interrupted one as missing, and lets the client resume its upload.
func TestUploadResumesAfterAKill(t *testing.T) {
	f := newFrontend(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.start()
	defer func() { _ = f.process.Process.Kill(); _ = f.process.Wait() }()
	var stored []*repb.Digest
	for i := range 10 {
		stored = append(stored, f.put(ctx, randomBlob(1000+i*10_000)))
	}
	large := randomBlob(20 << 20)
	digest := digestOf(large)
	name := "uploads/1/blobs/" + blobstore.Of(large).String()
	if _, err := f.upload(ctx, name, large, 10<<20); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	f.kill()
	f.start()
	missing, err := f.cas.FindMissingBlobs(ctx, &repb.FindMissingBlobsRequest{BlobDigests: append(stored, digest)})
	if err != nil || len(missing.MissingBlobDigests) != 1 || missing.MissingBlobDigests[0].Hash != digest.Hash {
		t.Fatalf("missing blobs after the restart: %v, error %v; want only the interrupted upload", missing, err)
	}
	status, err := f.stream.QueryWriteStatus(ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
	if err != nil || status.CommittedSize <= 0 || status.CommittedSize >= digest.SizeBytes || status.Complete {
		t.Errorf("status of the interrupted upload: %v, error %v; want it incomplete, with a part committed", status, err)
	}
	if resp, err := f.upload(ctx, name, large, len(large)); err != nil || resp.CommittedSize != digest.SizeBytes {
		t.Errorf("resumed upload: response %v, error %v; want %d bytes committed", resp, err, digest.SizeBytes)
	}
	if err := f.process.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	if err := f.process.Wait(); err != nil {
		t.Errorf("exit after an interrupt: %v, want success", err)
	}
	if log := f.log.String(); !strings.Contains(log, "kept=1") || !strings.Contains(log, "stopped") {
		t.Errorf("the log lacks \"kept=1\" or \"stopped\": %s", log)
	}
}
