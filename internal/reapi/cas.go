package reapi

import (
	"context"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// FindMissingBlobs returns the digests of the requested blobs that no front end has. The blobs
// that were found are pinned for the retention period.
func (f *FrontEnd) FindMissingBlobs(ctx context.Context, req *repb.FindMissingBlobsRequest) (*repb.FindMissingBlobsResponse, error) {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := f.authorize(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return nil, err
	}
	if len(req.GetBlobDigests()) > maxDigests {
		return nil, status.Errorf(codes.InvalidArgument, "%d digests, at most %d", len(req.GetBlobDigests()), maxDigests)
	}
	digests := make([]blobstore.Digest, 0, len(req.GetBlobDigests()))
	for _, d := range req.GetBlobDigests() {
		digest := digestFromProto(function, d)
		if err := digest.Check(); err != nil {
			return nil, statusError(err)
		}
		digests = append(digests, digest)
	}
	resp := new(repb.FindMissingBlobsResponse)
	for _, d := range f.missing(ctx, req.GetInstanceName(), space, digests) {
		resp.MissingBlobDigests = append(resp.MissingBlobDigests, digestToProto(d))
	}
	return resp, nil
}

// BatchUpdateBlobs stores several blobs and returns a status for each.
func (f *FrontEnd) BatchUpdateBlobs(ctx context.Context, req *repb.BatchUpdateBlobsRequest) (*repb.BatchUpdateBlobsResponse, error) {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := f.authorize(ctx, req.GetInstanceName(), verbWrite)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, r := range req.GetRequests() {
		total += max(int64(len(r.GetData())), r.GetDigest().GetSizeBytes())
	}
	if total > maxBatchBytes {
		return nil, status.Errorf(codes.InvalidArgument, "the batch holds %d bytes, at most %d; write larger blobs by ByteStream", total, maxBatchBytes)
	}
	if err := f.throttle(ctx, int(total)); err != nil {
		return nil, err
	}
	resp := new(repb.BatchUpdateBlobsResponse)
	for _, r := range req.GetRequests() {
		data, err := decompressBlob(r)
		digest := digestFromProto(function, r.GetDigest())
		if err == nil {
			err = f.store.Put(blobstore.Key{Space: space, Digest: digest}, data)
		}
		if err == nil {
			f.replicate(ctx, req.GetInstanceName(), space, []blobstore.Digest{digest})
		}
		resp.Responses = append(resp.Responses, &repb.BatchUpdateBlobsResponse_Response{Digest: r.GetDigest(), Status: statusOf(err)})
	}
	return resp, nil
}

// BatchReadBlobs reads several blobs and returns a status for each.
func (f *FrontEnd) BatchReadBlobs(ctx context.Context, req *repb.BatchReadBlobsRequest) (*repb.BatchReadBlobsResponse, error) {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := f.authorize(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, d := range req.GetDigests() {
		if total += max(0, d.GetSizeBytes()); total > maxBatchBytes {
			return nil, status.Errorf(codes.InvalidArgument, "the batch asks for more than %d bytes; read larger blobs by ByteStream", maxBatchBytes)
		}
	}
	if err := f.throttle(ctx, int(total)); err != nil {
		return nil, err
	}
	resp := new(repb.BatchReadBlobsResponse)
	for _, d := range req.GetDigests() {
		data, err := f.read(ctx, req.GetInstanceName(), blobstore.Key{Space: space, Digest: digestFromProto(function, d)}, maxBatchBytes)
		resp.Responses = append(resp.Responses, &repb.BatchReadBlobsResponse_Response{Digest: d, Data: data, Status: statusOf(err)})
	}
	return resp, nil
}
