package reapi

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// missing returns the digests of the blobs that neither this front end nor a peer has. Every
// other blob is pinned for the retention time on a front end that has it.
func (f *FrontEnd) missing(ctx context.Context, instance, space string, digests []blobstore.Digest) []blobstore.Digest {
	if f.fromPeer(ctx) {
		if md, _ := metadata.FromIncomingContext(ctx); len(md.Get(probeMetadataKey)) > 0 {
			return f.store.PeekMissing(space, digests)
		}
		return f.store.FindMissing(space, digests)
	}
	missing := f.store.FindMissing(space, digests)
	for _, p := range f.peers.reachableFirst("") {
		if len(missing) == 0 {
			break
		}
		stillMissing, err := p.findMissing(ctx, p.effectiveTimeout(peerTimeout), instance, missing)
		if err != nil {
			f.log.Debug("query for missing blobs at peer failed", "peer", p.addr, "error", err)
			continue
		}
		missing = stillMissing
	}
	return missing
}

// findMissing returns those of the digests whose blobs the peer does not have. digests must
// not be empty, and all must have the same digest function.
func (p *peer) findMissing(ctx context.Context, timeout time.Duration, instance string, digests []blobstore.Digest) (missing []blobstore.Digest, err error) {
	function := digests[0].Function
	req := &repb.FindMissingBlobsRequest{InstanceName: instance, DigestFunction: DigestFunctionToProto(function)}
	for _, digest := range digests {
		req.BlobDigests = append(req.BlobDigests, digestToProto(digest))
	}
	err = p.call(ctx, timeout, func(ctx context.Context) error {
		resp, err := p.cas.FindMissingBlobs(ctx, req)
		for _, digest := range resp.GetMissingBlobDigests() {
			missing = append(missing, digestFromProto(function, digest))
		}
		return err
	})
	return missing, err
}

// open opens a blob, which it first fetches from a peer if it is not stored here.
func (f *FrontEnd) open(ctx context.Context, instance string, key blobstore.Key) (*blobstore.Reader, error) {
	blob, err := f.store.Open(key)
	if !errors.Is(err, blobstore.ErrNotFound) || f.fromPeer(ctx) {
		return blob, err
	}
	for _, p := range f.peers.reachableFirst(key.Hash) {
		fetchErr := p.call(ctx, p.effectiveTimeout(transferTime(key.Size)), func(ctx context.Context) error {
			return f.fetchFrom(ctx, p, instance, key)
		})
		if fetchErr == nil {
			return f.store.Open(key)
		}
		var full *blobstore.FullError
		if errors.As(fetchErr, &full) {
			return nil, fetchErr
		}
		if status.Code(fetchErr) != codes.NotFound {
			f.log.Debug("fetch of blob from peer failed", "peer", p.addr, "error", fetchErr)
		}
	}
	return nil, err
}

// read reads a whole blob, which it first fetches from a peer if it is not stored here. It
// fails if the blob is larger than limit.
func (f *FrontEnd) read(ctx context.Context, instance string, key blobstore.Key, limit int64) ([]byte, error) {
	if key.Size > limit {
		return f.store.Read(key, limit) // returns the error for blobs larger than limit
	}
	blob, err := f.open(ctx, instance, key)
	if err != nil {
		return nil, err
	}
	defer blob.Close() //nolint:errcheck // only read
	return io.ReadAll(blob)
}

// fetchFrom copies a blob from a peer to the store.
func (f *FrontEnd) fetchFrom(ctx context.Context, p *peer, instance string, key blobstore.Key) error {
	from, err := p.bytes.Read(ctx, &bytestream.ReadRequest{ResourceName: resourceName(instance, "blobs/"+key.Digest.String())})
	if err != nil {
		return err
	}
	// Create reserves space, so it is called only once the peer has sent data.
	message, err := from.Recv()
	if err != nil {
		return err
	}
	upload, err := f.store.Create(key)
	if err != nil {
		return err
	}
	defer upload.Abort()
	for {
		if _, err := upload.Write(message.GetData()); err != nil {
			return err
		}
		if message, err = from.Recv(); errors.Is(err, io.EOF) {
			return upload.Commit()
		} else if err != nil {
			return err
		}
	}
}

// resourceName returns a resource name within an instance.
func resourceName(instance, name string) string {
	if instance == "" {
		return name
	}
	return instance + "/" + name
}

// replicate copies blobs that are stored here to peers until there are Copies of each. A peer
// that fails is skipped in favor of the next one. If too few succeed, the blob remains
// under-replicated, which is counted and logged.
func (f *FrontEnd) replicate(ctx context.Context, instance, space string, digests []blobstore.Digest) {
	if f.peers == nil || f.peers.Copies < 2 || f.fromPeer(ctx) {
		return
	}
	for _, digest := range digests {
		if digest.IsEmpty() {
			continue
		}
		copies := 1
		for _, p := range f.peers.available(digest.Hash) {
			if copies == f.peers.Copies {
				break
			}
			err := p.call(ctx, transferTime(digest.Size), func(ctx context.Context) error {
				return f.copyTo(ctx, p, instance, blobstore.Key{Space: space, Digest: digest})
			})
			if err != nil {
				f.log.Debug("copy of blob to peer failed", "peer", p.addr, "error", err)
				continue
			}
			copies++
		}
		if copies < f.peers.Copies {
			f.countUnderReplicated(copies)
		}
	}
}

// countUnderReplicated counts a blob with too few copies. To limit the log volume, it logs
// only the 1st, 2nd, 4th, 8th and so on.
func (f *FrontEnd) countUnderReplicated(copies int) {
	if total := f.peers.UnderReplicated.Add(1); total&(total-1) == 0 {
		f.log.Warn("under-replicated blobs", "count", total, "copies", copies, "wanted", f.peers.Copies)
	}
}

// copyTo copies a blob to a peer, in a single message if it is small.
func (f *FrontEnd) copyTo(ctx context.Context, p *peer, instance string, key blobstore.Key) error {
	blob, err := f.store.Open(key)
	if err != nil {
		return err
	}
	defer blob.Close() //nolint:errcheck // only read
	if key.Size <= chunkSize {
		return p.update(ctx, instance, key.Digest, blob)
	}
	return p.write(ctx, instance, key.Digest, blob)
}

// update stores a small blob at the peer in a single message.
func (p *peer) update(ctx context.Context, instance string, digest blobstore.Digest, blob io.Reader) error {
	data, err := io.ReadAll(blob)
	if err != nil {
		return err
	}
	resp, err := p.cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{
		InstanceName:   instance,
		DigestFunction: DigestFunctionToProto(digest.Function),
		Requests:       []*repb.BatchUpdateBlobsRequest_Request{{Digest: digestToProto(digest), Data: data}},
	})
	if err == nil && len(resp.GetResponses()) == 1 {
		err = status.FromProto(resp.Responses[0].GetStatus()).Err()
	}
	return err
}

// write streams a blob to the peer.
func (p *peer) write(ctx context.Context, instance string, digest blobstore.Digest, blob io.Reader) error {
	stream, err := p.bytes.Write(ctx)
	if err != nil {
		return err
	}
	buf := make([]byte, chunkSize)
	name := resourceName(instance, "uploads/"+rand.Text()+"/blobs/"+digest.String())
	for sent := int64(0); sent < digest.Size; {
		n, err := io.ReadFull(blob, buf[:min(chunkSize, digest.Size-sent)])
		if err != nil {
			return err
		}
		if err := stream.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: sent, Data: buf[:n], FinishWrite: sent+int64(n) == digest.Size}); err != nil {
			break // CloseAndRecv returns the reason, or success if the peer already has the blob
		}
		sent += int64(n)
	}
	_, err = stream.CloseAndRecv()
	return err
}

// peerResult returns an action's result from the first peer that has it, or nil if none does.
func (f *FrontEnd) peerResult(ctx context.Context, instance string, action blobstore.Digest) *repb.ActionResult {
	req := &repb.GetActionResultRequest{InstanceName: instance, ActionDigest: digestToProto(action), DigestFunction: DigestFunctionToProto(action.Function)}
	for _, p := range f.peers.reachableFirst(action.Hash) {
		var result *repb.ActionResult
		err := p.call(ctx, p.effectiveTimeout(peerTimeout), func(ctx context.Context) (err error) {
			result, err = p.actionCache.GetActionResult(ctx, req)
			return err
		})
		if err == nil {
			return result
		}
	}
	return nil
}

// replicateResult copies a result to peers until there are Copies of it. A peer that already
// has a result for the key keeps its own.
func (f *FrontEnd) replicateResult(ctx context.Context, instance string, action blobstore.Digest, result *repb.ActionResult) {
	f.replicateRecord(ctx, instance, action, result, false)
}

// replicateRecord does the same as replicateResult. If replace is set, the peers replace the
// results that they have.
func (f *FrontEnd) replicateRecord(ctx context.Context, instance string, action blobstore.Digest, result *repb.ActionResult, replace bool) {
	if replace {
		ctx = metadata.AppendToOutgoingContext(ctx, replaceMetadataKey, "1")
	}
	if f.peers == nil || f.fromPeer(ctx) {
		return
	}
	req := &repb.UpdateActionResultRequest{InstanceName: instance, ActionDigest: digestToProto(action), ActionResult: result, DigestFunction: DigestFunctionToProto(action.Function)}
	copies := 1
	for _, p := range f.peers.available(action.Hash) {
		if copies >= f.peers.Copies {
			break
		}
		err := p.call(ctx, peerTimeout, func(ctx context.Context) error {
			_, err := p.actionCache.UpdateActionResult(ctx, req)
			return err
		})
		if err == nil {
			copies++
		}
	}
}
