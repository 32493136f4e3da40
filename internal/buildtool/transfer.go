package buildtool

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

const (
	// maxBatchSize is the maximum total size of the blobs uploaded in one call, in bytes. With
	// the rest of the request it stays below the usual gRPC message limit of 4 MiB.
	maxBatchSize = 3 << 20
	// chunkSize is the number of bytes in each message of a write stream.
	chunkSize = 512 << 10
)

// resourceName prefixes a ByteStream resource name with the instance.
func (b *Builder) resourceName(name string) string {
	if b.instance == "" {
		return name
	}
	return b.instance + "/" + name
}

// blobName returns the part of a resource name that identifies a blob.
func (b *Builder) blobName(digest *repb.Digest) string {
	if b.DigestFunction == repb.DigestFunction_BLAKE3 {
		return fmt.Sprintf("blobs/blake3/%s/%d", digest.GetHash(), digest.GetSizeBytes())
	}
	return fmt.Sprintf("blobs/%s/%d", digest.GetHash(), digest.GetSizeBytes())
}

// upload uploads the blobs that the front end reports as missing. If all is set, it uploads
// all blobs, since a blob that one front end reports as present may be unavailable to another.
func (r *run) upload(ctx context.Context, blobs map[string][]byte, all bool) error {
	b := r.builder
	query := &repb.FindMissingBlobsRequest{InstanceName: b.instance, DigestFunction: b.DigestFunction}
	for _, hash := range slices.Sorted(maps.Keys(blobs)) {
		query.BlobDigests = append(query.BlobDigests, &repb.Digest{Hash: hash, SizeBytes: int64(len(blobs[hash]))})
	}
	return r.retry(ctx, func() error {
		resp, err := b.cas.FindMissingBlobs(ctx, query)
		if err != nil {
			return err
		}
		digests := resp.GetMissingBlobDigests()
		if all {
			digests = query.BlobDigests
		}
		return r.uploadBlobs(ctx, digests, blobs)
	})
}

// uploadBlobs uploads blobs of up to maxBatchSize in batches, and larger ones one by one.
func (r *run) uploadBlobs(ctx context.Context, digests []*repb.Digest, blobs map[string][]byte) error {
	var batch []*repb.BatchUpdateBlobsRequest_Request
	size := 0
	for _, digest := range digests {
		data := blobs[digest.GetHash()]
		if len(data) > maxBatchSize {
			if err := r.writeBlob(ctx, digest, data); err != nil {
				return err
			}
			continue
		}
		if size+len(data) > maxBatchSize {
			if err := r.uploadBatch(ctx, batch, size); err != nil {
				return err
			}
			batch, size = nil, 0
		}
		batch = append(batch, &repb.BatchUpdateBlobsRequest_Request{Digest: digest, Data: data})
		size += len(data)
	}
	return r.uploadBatch(ctx, batch, size)
}

// uploadBatch uploads blobs of the given total size in one call.
func (r *run) uploadBatch(ctx context.Context, batch []*repb.BatchUpdateBlobsRequest_Request, size int) error {
	if len(batch) == 0 {
		return nil
	}
	b := r.builder
	resp, err := b.cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{InstanceName: b.instance, DigestFunction: b.DigestFunction, Requests: batch})
	if err != nil {
		return err
	}
	for _, blob := range resp.GetResponses() {
		if err := status.FromProto(blob.GetStatus()).Err(); err != nil {
			return err
		}
	}
	r.countUpload(size)
	return nil
}

// writeBlob uploads a blob through a write stream.
func (r *run) writeBlob(ctx context.Context, digest *repb.Digest, data []byte) error {
	stream, err := r.builder.byteStream.Write(ctx)
	if err != nil {
		return err
	}
	name := r.builder.resourceName("uploads/" + rand.Text() + "/" + r.builder.blobName(digest))
	for offset := 0; offset < len(data); {
		end := min(offset+chunkSize, len(data))
		if err := stream.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: int64(offset), Data: data[offset:end], FinishWrite: end == len(data)}); err != nil {
			break // CloseAndRecv returns the error, or success if the blob already exists
		}
		offset = end
	}
	if _, err = stream.CloseAndRecv(); err == nil {
		r.countUpload(len(data))
	}
	return err
}

// countUpload adds to the number of uploaded bytes.
func (r *run) countUpload(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.BytesUp += int64(bytes)
}

// Read reads a blob and verifies its digest.
func (b *Builder) Read(ctx context.Context, digest *repb.Digest) ([]byte, error) {
	r := &run{builder: b}
	var data []byte
	err := r.retry(ctx, func() error {
		stream, err := b.byteStream.Read(ctx, &bytestream.ReadRequest{ResourceName: b.resourceName(b.blobName(digest))})
		if err != nil {
			return err
		}
		data = data[:0]
		for {
			message, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return err
			}
			data = append(data, message.GetData()...)
		}
		if !proto.Equal(b.Digest(data), digest) {
			return status.Errorf(codes.DataLoss, "digest mismatch: the %d bytes read do not have the digest %s", len(data), digest.GetHash())
		}
		return nil
	})
	return data, err
}
