package reapi

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"micaspindle/internal/blobstore"
)

// memoryStream is a ByteStream server that sends data from memory. Its rate is an upper bound
// for downloads over gRPC.
type memoryStream struct {
	bytestream.UnimplementedByteStreamServer
	data []byte
}

func (p *memoryStream) Read(_ *bytestream.ReadRequest, out bytestream.ByteStream_ReadServer) error {
	for at := 0; at < len(p.data); at += chunkSize {
		if err := out.Send(&bytestream.ReadResponse{Data: p.data[at:min(len(p.data), at+chunkSize)]}); err != nil {
			return err
		}
	}
	return nil
}

// TestDownloads measures downloads of blobs relative to a gRPC stream of the same size from
// memory.
//
// Run it with: GATE_THROUGHPUT=1 go test -run TestDownloads -v -count 3 ./internal/reapi
func TestDownloads(t *testing.T) {
	if os.Getenv("GATE_THROUGHPUT") == "" {
		t.Skip("benchmark; set GATE_THROUGHPUT=1 to run it")
	}
	b, _ := startFrontEnd(t, twoTeams, OpenAccess{}, blobstore.Options{MaxBytes: 4 << 30, MaxBlob: 64 << 20})
	const size, blobs = 32 << 20, 4
	data := randomBytes(size)
	var names []string
	for i := range blobs {
		data[0] = byte(i)
		name := blobstore.Of(data).String()
		if _, err := b.upload("uploads/1/blobs/"+name, data, 0, chunkSize, true); err != nil {
			t.Fatal(err)
		}
		names = append(names, "blobs/"+name)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	bytestream.RegisterByteStreamServer(server, &memoryStream{data: data})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test ends
	baseline := &testClient{t: t, ctx: context.Background(), bytes: bytestream.NewByteStreamClient(conn)}
	rate := func(c *testClient, streams int) float64 {
		started := time.Now()
		var wg sync.WaitGroup
		for w := range streams {
			wg.Go(func() {
				for i := range 16 / streams {
					if err := c.downloadTo(io.Discard, names[(w+i)%blobs], 0, 0); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		return 16 / float64(streams) * float64(streams) * size / 1e6 / time.Since(started).Seconds()
	}
	for _, streams := range []int{1, 4} {
		rate(baseline, streams)
		rate(b, streams)
		fromMemory, fromStore := rate(baseline, streams), rate(b, streams)
		t.Logf("%d concurrent streams: %.0f MB/s, %.2f of the rate from memory (%.0f)", streams, fromStore, fromStore/fromMemory, fromMemory)
	}
}
