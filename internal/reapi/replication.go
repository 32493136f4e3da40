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

// missing returns the digests of blobs that neither this front end nor a peer has. The
// front end that has one pins it for the promised time.
func (f *FrontEnd) missing(ctx context.Context, instance, space string, digests []blobstore.Digest) []blobstore.Digest {
	if f.fromPeer(ctx) {
		if md, _ := metadata.FromIncomingContext(ctx); len(md.Get(probeMark)) > 0 {
			return f.store.Lacks(space, digests)
		}
		return f.store.Missing(space, digests)
	}
	missing := f.store.Missing(space, digests)
	for _, p := range f.peers.reachableFirst("") {
		if len(missing) == 0 {
			break
		}
		stillMissing, err := p.findMissing(ctx, p.timeFor(peerTimeout), instance, missing)
		if err != nil {
			f.log.Debug("query for blobs at peer failed", "peer", p.addr, "error", err)
			continue
		}
		missing = stillMissing
	}
	return missing
}

// findMissing returns those of the digests whose blobs the peer does not have. They have
// the same digest function and are at least one.
func (p *peer) findMissing(ctx context.Context, timeout time.Duration, instance string, digests []blobstore.Digest) (missing []blobstore.Digest, err error) {
	function := digests[0].Function
	req := &repb.FindMissingBlobsRequest{InstanceName: instance, DigestFunction: FunctionOnWire(function)}
	for _, digest := range digests {
		req.BlobDigests = append(req.BlobDigests, digestToProto(digest))
	}
	err = p.call(ctx, timeout, func(ctx context.Context) error {
		resp, err := p.cas.FindMissingBlobs(ctx, req)
		for _, digest := range resp.GetMissingBlobDigests() {
			missing = append(missing, digestIn(function, digest))
		}
		return err
	})
	return missing, err
}

// open opens a blob, fetched from a peer if it is not here.
func (f *FrontEnd) open(ctx context.Context, instance string, key blobstore.Key) (*blobstore.Reader, error) {
	blob, err := f.store.Open(key)
	if !errors.Is(err, blobstore.ErrNotFound) || f.fromPeer(ctx) {
		return blob, err
	}
	for _, p := range f.peers.reachableFirst(key.Hash) {
		fetchErr := p.call(ctx, p.timeFor(transferTime(key.Size)), func(ctx context.Context) error {
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

// read reads a whole blob, fetched from a peer if it is not here. One larger than limit is
// an error.
func (f *FrontEnd) read(ctx context.Context, instance string, key blobstore.Key, limit int64) ([]byte, error) {
	if key.Size > limit {
		return f.store.Read(key, limit) // returns that error
	}
	blob, err := f.open(ctx, instance, key)
	if err != nil {
		return nil, err
	}
	defer blob.Close() //nolint:errcheck // only read
	return io.ReadAll(blob)
}

// fetchFrom copies a blob from a peer.
func (f *FrontEnd) fetchFrom(ctx context.Context, p *peer, instance string, key blobstore.Key) error {
	from, err := p.bytes.Read(ctx, &bytestream.ReadRequest{ResourceName: resourceName(instance, "blobs/"+key.Digest.String())})
	if err != nil {
		return err
	}
	// Space is reserved only once the peer has begun to send.
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

// replicate copies blobs that are here to peers until there are Copies of each. A peer that
// does not answer is passed over for the next one. If too few answer, the blob stays with
// fewer copies, which is counted and logged.
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
			f.countShort(copies)
		}
	}
}

// countShort counts a blob with too few copies. It logs the 1st, 2nd, 4th, 8th and so on.
func (f *FrontEnd) countShort(copies int) {
	if total := f.peers.Short.Add(1); total&(total-1) == 0 {
		f.log.Warn("blobs with too few copies", "count", total, "copies", copies, "wanted", f.peers.Copies)
	}
}

// copyTo copies a blob to a peer, in one message if it is small.
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

// update stores a small blob at the peer.
func (p *peer) update(ctx context.Context, instance string, digest blobstore.Digest, blob io.Reader) error {
	data, err := io.ReadAll(blob)
	if err != nil {
		return err
	}
	resp, err := p.cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{
		InstanceName:   instance,
		DigestFunction: FunctionOnWire(digest.Function),
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
			break // the response has the reason, or the peer has the blob already
		}
		sent += int64(n)
	}
	_, err = stream.CloseAndRecv()
	return err
}

// peerResult returns an action's result from the first peer that has it, nil if none does.
func (f *FrontEnd) peerResult(ctx context.Context, instance string, action blobstore.Digest) *repb.ActionResult {
	req := &repb.GetActionResultRequest{InstanceName: instance, ActionDigest: digestToProto(action), DigestFunction: FunctionOnWire(action.Function)}
	for _, p := range f.peers.reachableFirst(action.Hash) {
		var result *repb.ActionResult
		err := p.call(ctx, p.timeFor(peerTimeout), func(ctx context.Context) (err error) {
			result, err = p.actionCache.GetActionResult(ctx, req)
			return err
		})
		if err == nil {
			return result
		}
	}
	return nil
}

// replicateResult copies a result to peers until there are Copies of it; a peer's own
// result stays.
func (f *FrontEnd) replicateResult(ctx context.Context, instance string, action blobstore.Digest, result *repb.ActionResult) {
	f.replicateRecord(ctx, instance, action, result, false)
}

// replicateRecord is replicateResult; replace makes the copies replace the peers' own
// results, since their blobs are lost.
func (f *FrontEnd) replicateRecord(ctx context.Context, instance string, action blobstore.Digest, result *repb.ActionResult, replace bool) {
	if replace {
		ctx = metadata.AppendToOutgoingContext(ctx, replaceMark, "1")
	}
	if f.peers == nil || f.fromPeer(ctx) {
		return
	}
	req := &repb.UpdateActionResultRequest{InstanceName: instance, ActionDigest: digestToProto(action), ActionResult: result, DigestFunction: FunctionOnWire(action.Function)}
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
