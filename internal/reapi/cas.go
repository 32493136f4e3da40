package reapi

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// FindMissingBlobs says which blobs are not here. Those that are, stay for as
// long as the store promises.
func (g *FrontEnd) FindMissingBlobs(ctx context.Context, req *repb.FindMissingBlobsRequest) (*repb.FindMissingBlobsResponse, error) {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := g.space(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return nil, err
	}
	if len(req.GetBlobDigests()) > maxDigests {
		return nil, status.Errorf(codes.InvalidArgument, "%d digests, at most %d", len(req.GetBlobDigests()), maxDigests)
	}
	digests := make([]blobstore.Digest, 0, len(req.GetBlobDigests()))
	for _, d := range req.GetBlobDigests() {
		digest := digestIn(function, d)
		if err := digest.Check(); err != nil {
			return nil, failure(err)
		}
		digests = append(digests, digest)
	}
	resp := new(repb.FindMissingBlobsResponse)
	for _, d := range g.missing(ctx, req.GetInstanceName(), space, digests) {
		resp.MissingBlobDigests = append(resp.MissingBlobDigests, wire(d))
	}
	return resp, nil
}

// maxWindow bounds the memory that a compressed blob makes its decompressor take.
const maxWindow = 32 << 20

// unpack is what a blob of a batch holds, decompressed within its size.
func unpack(r *repb.BatchUpdateBlobsRequest_Request) ([]byte, error) {
	switch r.GetCompressor() {
	case repb.Compressor_IDENTITY:
		return r.GetData(), nil
	case repb.Compressor_ZSTD:
		size := r.GetDigest().GetSizeBytes()
		if size > maxBatch {
			return nil, fmt.Errorf("%w: %d bytes in a batch, at most %d", blobstore.ErrTooLarge, size, maxBatch)
		}
		dec, err := zstd.NewReader(bytes.NewReader(r.GetData()), zstd.WithDecoderMaxWindow(maxWindow), zstd.WithDecoderConcurrency(1))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", blobstore.ErrInvalid, err)
		}
		defer dec.Close()
		data, err := io.ReadAll(io.LimitReader(dec, max(0, size)+1))
		if err != nil {
			return nil, fmt.Errorf("%w: not zstd of this size", blobstore.ErrMismatch)
		}
		return data, nil
	}
	return nil, fmt.Errorf("%w: compressor %s is not served", blobstore.ErrInvalid, r.GetCompressor())
}

// BatchUpdateBlobs stores several blobs; each has its own answer.
func (g *FrontEnd) BatchUpdateBlobs(ctx context.Context, req *repb.BatchUpdateBlobsRequest) (*repb.BatchUpdateBlobsResponse, error) {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := g.space(ctx, req.GetInstanceName(), verbWrite)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, r := range req.GetRequests() {
		total += max(int64(len(r.GetData())), r.GetDigest().GetSizeBytes())
	}
	if total > maxBatch {
		return nil, status.Errorf(codes.InvalidArgument, "the batch holds %d bytes, at most %d; write larger blobs by ByteStream", total, maxBatch)
	}
	if err := g.pace(ctx, int(total)); err != nil {
		return nil, err
	}
	resp := new(repb.BatchUpdateBlobsResponse)
	for _, r := range req.GetRequests() {
		data, err := unpack(r)
		digest := digestIn(function, r.GetDigest())
		if err == nil {
			err = g.store.Put(blobstore.Key{Space: space, Digest: digest}, data)
		}
		if err == nil {
			g.spread(ctx, req.GetInstanceName(), space, []blobstore.Digest{digest})
		}
		resp.Responses = append(resp.Responses, &repb.BatchUpdateBlobsResponse_Response{Digest: r.GetDigest(), Status: statusOf(err)})
	}
	return resp, nil
}

func statusOf(err error) *rpcstatus.Status {
	if err == nil {
		return &rpcstatus.Status{}
	}
	return status.Convert(failure(err)).Proto()
}

// BatchReadBlobs reads several blobs; each has its own answer.
func (g *FrontEnd) BatchReadBlobs(ctx context.Context, req *repb.BatchReadBlobsRequest) (*repb.BatchReadBlobsResponse, error) {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := g.space(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, d := range req.GetDigests() {
		if total += max(0, d.GetSizeBytes()); total > maxBatch {
			return nil, status.Errorf(codes.InvalidArgument, "the batch asks for more than %d bytes; read larger blobs by ByteStream", maxBatch)
		}
	}
	if err := g.pace(ctx, int(total)); err != nil {
		return nil, err
	}
	resp := new(repb.BatchReadBlobsResponse)
	for _, d := range req.GetDigests() {
		data, err := g.read(ctx, req.GetInstanceName(), blobstore.Key{Space: space, Digest: digestIn(function, d)}, maxBatch)
		resp.Responses = append(resp.Responses, &repb.BatchReadBlobsResponse_Response{Digest: d, Data: data, Status: statusOf(err)})
	}
	return resp, nil
}

// GetTree walks a directory tree, breadth first, a page at a time. The page
// token says how many directories were told before; the tree never changes, so
// the walk is the same each time.
func (g *FrontEnd) GetTree(req *repb.GetTreeRequest, out grpc.ServerStreamingServer[repb.GetTreeResponse]) error {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(out.Context(), callTime)
	defer cancel()
	space, err := g.space(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return err
	}
	skip := uint64(0)
	if token := req.GetPageToken(); token != "" {
		if len(token) != 8 {
			return status.Error(codes.InvalidArgument, "the page token is none of ours")
		}
		skip = binary.BigEndian.Uint64([]byte(token))
	}
	size := treePage
	if n := int(req.GetPageSize()); n > 0 {
		size = min(n, treePage)
	}
	page, held, told := new(repb.GetTreeResponse), 0, uint64(0)
	flush := func() error {
		page.NextPageToken = string(binary.BigEndian.AppendUint64(nil, told))
		err := out.Send(page)
		page, held = new(repb.GetTreeResponse), 0
		return err
	}
	queue := []blobstore.Digest{digestIn(function, req.GetRootDigest())}
	seen := map[blobstore.Digest]bool{queue[0]: true}
	for n := uint64(0); len(queue) > 0; n++ {
		if err := ctx.Err(); err != nil {
			return failure(err)
		}
		if len(seen) > maxDigests*10 {
			return status.Errorf(codes.InvalidArgument, "the tree has more than %d directories", maxDigests*10)
		}
		d := queue[0]
		queue = queue[1:]
		data, err := g.read(ctx, req.GetInstanceName(), blobstore.Key{Space: space, Digest: d}, maxTreeNode)
		if errors.Is(err, blobstore.ErrNotFound) {
			return status.Errorf(codes.NotFound, "directory %s is not here", d)
		}
		if err != nil {
			return failure(err)
		}
		dir := new(repb.Directory)
		if err := proto.Unmarshal(data, dir); err != nil {
			return status.Errorf(codes.InvalidArgument, "blob %s is no directory", d)
		}
		for _, sub := range dir.GetDirectories() {
			next := digestIn(function, sub.GetDigest())
			if err := next.Check(); err != nil {
				return failure(err)
			}
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		if n < skip {
			told = n + 1
			continue
		}
		if len(page.Directories) > 0 && (len(page.Directories) >= size || held+len(data) > maxBatch) {
			if err := flush(); err != nil {
				return err
			}
		}
		page.Directories = append(page.Directories, dir)
		held += len(data)
		told = n + 1
	}
	page.NextPageToken = ""
	return out.Send(page)
}
