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

	"micaspindle/internal/content"
)

// program builds this program.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "micaspindle-reapi")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

func TestSettings(t *testing.T) {
	if _, err := load(filepath.Join("..", "..", "deploy", "gate.yaml")); err != nil {
		t.Errorf("the shipped settings: %v", err)
	}
	const good = "listen: 127.0.0.1:1\ninstances: {\"\": red}\nstore: {dir: /tmp/x}\n"
	file := filepath.Join(t.TempDir(), "gate.yaml")
	for name, tc := range map[string]struct{ text, want string }{
		"good":              {good, ""},
		"unknown name":      {good + "port: 3\n", "port"},
		"no address":        {"instances: {a: b}\nstore: {dir: x}\n", "listen"},
		"no instance":       {"listen: 127.0.0.1:1\nstore: {dir: x}\n", "instances"},
		"no folder":         {"listen: 127.0.0.1:1\ninstances: {a: b}\n", "store.dir"},
		"no team":           {"listen: 127.0.0.1:1\ninstances: {a: \"\"}\nstore: {dir: x}\n", "no team"},
		"half identities":   {good + "identity: {own: x, roots: y}\n", "controllers"},
		"nobody to ask":     {good + "execute: true\n", "controllers"},
		"no roots":          {good + "controllers: [127.0.0.1:2]\nidentity: {own: x}\n", "own and roots"},
		"bad controller":    {good + "controllers: [x]\n", "controllers"},
		"blob over store":   {strings.Replace(good, "/tmp/x", "x, max_gb: 1, max_blob_mb: 2000", 1), "must fit the store"},
		"copies":            {good + "copies: 2\n", "copies"},
		"bad peer":          {good + "peers: {x: service/a}\n", "peers"},
		"empty":             {"", "listen"},
		"shares":            {good + "shares: {weights: {red: 2.5}, bytes_per_second: 1e8, calls: 0}\n", ""},
		"no such team":      {good + "shares: {weights: {blue: 1}}\n", "weights.blue"},
		"no weight":         {good + "shares: {weights: {red: -1}}\n", "weights.red"},
		"no actions":        {good + "shares: {actions: 0}\n", "actions"},
		"client over all":   {good + "shares: {actions: 10, actions_client: 11}\n", "actions_client"},
		"quota over all":    {good + "shares: {store_quota: 1.5}\n", "store_quota"},
		"no rate":           {good + "shares: {bytes_per_second: .nan}\n", "bytes_per_second"},
		"no pace":           {good + "repair: {bytes_per_second: 0}\n", "repair: bytes_per_second"},
		"peers and no self": {strings.Replace(good, "127.0.0.1:1", "0.0.0.0:1", 1) + "peers: {127.0.0.1:2: service/a}\n", "self"},
		"no gathering":      {good + "gather: {most: 0}\n", "gather"},
		"too often":         {good + "repair: {every: 1ms}\n", "repair: every"},
		"below 0":           {good + "shares: {queue: -1}\n", "queue"},
	} {
		if err := os.WriteFile(file, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := load(file)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v, want %q", name, err, tc.want)
		}
	}
}

// The front end is killed in the middle of an upload and started again: what was
// answered is there, what was not is missing, and the client can go on.
func TestKilledInTheMiddle(t *testing.T) {
	bin, dir := program(t), t.TempDir()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	file := filepath.Join(dir, "gate.yaml")
	text := fmt.Sprintf("listen: %s\ninstances: {\"\": red}\nclient_results: true\nstore: {dir: %s, max_gb: 1, max_blob_mb: 100}\n", addr, filepath.Join(dir, "data"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.WaitForReady(true)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test ends
	cas, stream := repb.NewContentAddressableStorageClient(conn), bytestream.NewByteStreamClient(conn)
	var logged bytes.Buffer
	run := func() *exec.Cmd {
		cmd := exec.Command(bin, "--config", file)
		cmd.Stderr = &logged
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return cmd
	}
	cmd := run()
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	put := func(data []byte) *repb.Digest {
		t.Helper()
		d := content.Of(data)
		w := &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}
		resp, err := cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: w, Data: data}}})
		if err != nil || resp.Responses[0].GetStatus().GetCode() != 0 {
			t.Fatalf("%v %v", resp, err)
		}
		return w
	}
	random := func(n int) []byte { b := make([]byte, n); _, _ = rand.Read(b); return b }
	var kept []*repb.Digest
	for i := range 10 {
		kept = append(kept, put(random(1000+i*10_000)))
	}
	large := random(20 << 20)
	name := "uploads/1/blobs/" + content.Of(large).String()
	send := func(upTo int) (*bytestream.WriteResponse, error) {
		w, err := stream.Write(ctx)
		if err != nil {
			return nil, err
		}
		for at := 0; at < upTo; at += 1 << 20 {
			end := min(at+1<<20, len(large))
			if err := w.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: int64(at), Data: large[at:end], FinishWrite: end == len(large)}); err != nil {
				break
			}
		}
		if upTo < len(large) {
			return nil, nil // left in the middle
		}
		return w.CloseAndRecv()
	}
	if _, err := send(10 << 20); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	cmd = run()
	d := content.Of(large)
	miss, err := cas.FindMissingBlobs(ctx, &repb.FindMissingBlobsRequest{BlobDigests: append(kept, &repb.Digest{Hash: d.Hash, SizeBytes: d.Size})})
	if err != nil || len(miss.MissingBlobDigests) != 1 || miss.MissingBlobDigests[0].Hash != d.Hash {
		t.Fatalf("%v %v", miss, err)
	}
	st, err := stream.QueryWriteStatus(ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
	if err != nil || st.CommittedSize <= 0 || st.CommittedSize >= d.Size || st.Complete {
		t.Errorf("%v %v", st, err)
	}
	if resp, err := send(len(large)); err != nil || resp.CommittedSize != d.Size {
		t.Errorf("%v %v", resp, err)
	}
	if err := cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after a signal: %v", err)
	}
	if log := logged.String(); !strings.Contains(log, "kept=1") || !strings.Contains(log, "stopped") {
		t.Errorf("the log: %s", log)
	}
}
