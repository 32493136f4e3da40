package reapi

import (
	"fmt"
	"strings"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
)

// operationParts is the number of parts in an operation's name:
// operations/JOB/INDEX/EXECUTION/[FUNCTION:]HASH/SIZE/INSTANCE.
const operationParts = 7

// operation returns the name of the task's operation. The name has all the information that
// another front end needs to wait for the task. SHA-256, the default digest function, is
// omitted.
func (t *task) operation() string {
	action := t.entry.Action()
	hash := action.Hash
	if action.Function != blobstore.SHA256 {
		hash = action.Function.String() + ":" + hash
	}
	return strings.Join([]string{"operations", t.job, fmt.Sprint(t.index), t.entry.Execution, hash, fmt.Sprint(action.Size), t.instance}, "/")
}

// parseOperation returns the task that an operation's name refers to.
func parseOperation(name string) (*task, error) {
	invalid := status.Errorf(codes.NotFound, "%q is no operation", clip(name))
	parts := strings.SplitN(name, "/", operationParts)
	if len(parts) != operationParts || parts[0] != "operations" || !protocol.ValidJobID(parts[1]) {
		return nil, invalid
	}
	t := &task{instance: parts[6], job: parts[1], done: make(chan struct{})}
	t.entry = ManifestEntry{Execution: parts[3], Hash: parts[4]}
	if function, hash, named := strings.Cut(parts[4], ":"); named {
		t.entry.Function, t.entry.Hash = function, hash
	}
	if _, err := fmt.Sscan(parts[2]+" "+parts[5], &t.index, &t.entry.Size); err != nil || t.entry.Action().Check() != nil ||
		(blobstore.Digest{Hash: t.entry.Execution}).Check() != nil || t.operation() != name {
		return nil, invalid
	}
	return t, nil
}

// failureStatus returns the error status that a worker attached to a result, for example
// that the action exceeded its timeout; nil if there is none.
func failureStatus(r *repb.ActionResult) *rpcstatus.Status {
	for _, a := range r.GetExecutionMetadata().GetAuxiliaryMetadata() {
		st := new(rpcstatus.Status)
		if a.UnmarshalTo(st) == nil && st.GetCode() != 0 {
			return st
		}
	}
	return nil
}

// operationAt returns an operation that has reached the given stage. queued is the time of the
// action's arrival.
func operationAt(name string, action blobstore.Digest, stage repb.ExecutionStage_Value, queued time.Time) *longrunningpb.Operation {
	op := &longrunningpb.Operation{Name: name}
	metadata := &repb.ExecuteOperationMetadata{Stage: stage, ActionDigest: digestToProto(action), DigestFunction: DigestFunctionToProto(action.Function)}
	if queued.UnixMilli() > 0 {
		metadata.PartialExecutionMetadata = &repb.ExecutedActionMetadata{QueuedTimestamp: timestamppb.New(queued)}
	}
	if packed, err := anypb.New(metadata); err == nil {
		op.Metadata = packed
	}
	return op
}

// completedOperation returns an operation that has completed with a response.
func completedOperation(name string, action blobstore.Digest, resp *repb.ExecuteResponse) *longrunningpb.Operation {
	op := operationAt(name, action, repb.ExecutionStage_COMPLETED, time.Time{})
	op.Done = true
	if packed, err := anypb.New(resp); err == nil {
		op.Result = &longrunningpb.Operation_Response{Response: packed}
	}
	return op
}
