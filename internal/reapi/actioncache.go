package reapi

import (
	"context"
	"errors"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"micaspindle/internal/blobstore"
)

// maxResultBytes is the maximum size of an encoded action result.
const maxResultBytes = 1 << 20

// GetActionResult returns the cached result of an action if every blob that the result
// references is on some front end. The blobs are pinned there for the retention period.
func (f *FrontEnd) GetActionResult(ctx context.Context, req *repb.GetActionResultRequest) (*repb.ActionResult, error) {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := f.authorize(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return nil, err
	}
	action := digestFromProto(function, req.GetActionDigest())
	result, err := f.localResult(space, action)
	if f.fromPeer(ctx) {
		return result, statusError(err) // the calling peer checks that all its blobs exist
	}
	if err == nil {
		err = f.checkComplete(ctx, req.GetInstanceName(), space, function, result)
	}
	if errors.Is(err, blobstore.ErrNotFound) {
		if peerResult := f.peerResult(ctx, req.GetInstanceName(), action); peerResult != nil && f.checkComplete(ctx, req.GetInstanceName(), space, function, peerResult) == nil {
			return peerResult, nil
		}
	}
	if err != nil {
		return nil, statusError(err)
	}
	return result, nil
}

// localResult reads a result from this front end's store.
func (f *FrontEnd) localResult(space string, action blobstore.Digest) (*repb.ActionResult, error) {
	raw, err := f.results.Get(space, action)
	if err != nil {
		return nil, err
	}
	result := new(repb.ActionResult)
	if err := proto.Unmarshal(raw, result); err != nil {
		return nil, blobstore.ErrNotFound
	}
	return result, nil
}

// findResult reads a result from this front end or, failing that, from a peer. It returns
// nil if none of them has it.
func (f *FrontEnd) findResult(ctx context.Context, instance, space string, key blobstore.Digest) *repb.ActionResult {
	if result, err := f.localResult(space, key); err == nil {
		return result
	}
	return f.peerResult(ctx, instance, key)
}

// UpdateActionResult stores an action result. The caller is a client that executed the
// action itself, a worker that reports an execution, or a peer that replicates a result. A
// client cannot replace a stored result whose blobs all exist.
func (f *FrontEnd) UpdateActionResult(ctx context.Context, req *repb.UpdateActionResultRequest) (*repb.ActionResult, error) {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	instance := req.GetInstanceName()
	space, err := f.authorize(ctx, instance, verbWrite)
	if err != nil {
		return nil, err
	}
	md, _ := metadata.FromIncomingContext(ctx)
	fromPeer := f.fromPeer(ctx)
	if execution := md.Get(ExecutionMetadataKey); len(execution) == 1 && (fromPeer || f.fromWorker(ctx)) {
		return f.recordExecutionResult(ctx, req, space, execution[0])
	}
	if !f.config.ClientResults && !fromPeer {
		return nil, status.Error(codes.PermissionDenied, "clients write no results here")
	}
	action := digestFromProto(function, req.GetActionDigest())
	if err := action.Check(); err != nil {
		return nil, statusError(err)
	}
	if req.GetActionResult() == nil {
		return nil, errResultMissing
	}
	raw, err := proto.Marshal(req.GetActionResult())
	if err != nil || len(raw) > maxResultBytes {
		return nil, status.Errorf(codes.InvalidArgument, "the result is larger than %d bytes", maxResultBytes)
	}
	replace := fromPeer && len(md.Get(replaceMetadataKey)) > 0
	if stored, err := f.localResult(space, action); err == nil && !replace && (fromPeer || f.checkComplete(ctx, instance, space, function, stored) == nil) {
		return stored, nil
	}
	if !fromPeer { // a peer has checked the result before replicating it
		if err := f.checkUploaded(ctx, instance, space, function, req.GetActionResult()); err != nil {
			return nil, err
		}
	}
	if err := f.results.Put(space, action, raw); err != nil {
		return nil, statusError(err)
	}
	f.replicateResult(ctx, instance, action, req.GetActionResult())
	return req.GetActionResult(), nil
}

// errResultMissing rejects an UpdateActionResult request without a result.
var errResultMissing = status.Error(codes.InvalidArgument, "the result is missing")

// checkUploaded checks that the blobs of a result that a client wants to store are uploaded.
// Its errors are gRPC statuses.
func (f *FrontEnd) checkUploaded(ctx context.Context, instance, space string, function blobstore.Function, result *repb.ActionResult) error {
	err := f.checkComplete(ctx, instance, space, function, result)
	if errors.Is(err, blobstore.ErrNotFound) {
		return status.Errorf(codes.FailedPrecondition, "%v; upload them before the result", err)
	}
	return statusError(err)
}

// recordExecutionResult stores the result that a worker reports for an execution. It runs on
// the front end that is the primary of the execution; other front ends forward the call.
func (f *FrontEnd) recordExecutionResult(ctx context.Context, req *repb.UpdateActionResultRequest, space, execution string) (*repb.ActionResult, error) {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	entry := entryOf(execution, digestFromProto(function, req.GetActionDigest()))
	if err := errors.Join(entry.Action().Check(), (blobstore.Digest{Hash: execution}).Check()); err != nil {
		return nil, statusError(err)
	}
	if req.GetActionResult() == nil {
		return nil, errResultMissing
	}
	if !f.fromPeer(ctx) {
		if recorded, err := f.forwardToPrimary(ctx, req, execution); recorded != nil || err != nil {
			return recorded, err
		}
	}
	// The call is not forwarded again, but answering it may require other calls to peers.
	ctx = withoutPeerMark(ctx)
	raw, err := f.read(ctx, req.GetInstanceName(), blobstore.Key{Space: space, Digest: entry.Action()}, maxMessageBlobBytes)
	if err != nil {
		return nil, statusError(err)
	}
	action := new(repb.Action)
	if err := proto.Unmarshal(raw, action); err != nil {
		return nil, status.Error(codes.InvalidArgument, "that is no action")
	}
	if record := f.findStartRecord(ctx, req.GetInstanceName(), space, execution); record != nil && record.Queued > 0 && req.GetActionResult().GetExecutionMetadata() != nil {
		req.ActionResult.ExecutionMetadata.QueuedTimestamp = timestamppb.New(time.UnixMilli(record.Queued))
	}
	isFirst, err := f.RecordResult(ctx, req.GetInstanceName(), space, entry, req.GetActionResult(), !action.GetDoNotCache())
	if err != nil {
		return nil, statusError(err)
	}
	if !isFirst {
		f.log.Info("result discarded, execution already has one", "execution", execution, "count", f.discardedResults.Load())
	}
	return req.GetActionResult(), nil
}
