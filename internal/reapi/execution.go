package reapi

import (
	"context"
	"crypto/rand"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// errNotExecuting is returned by a front end that is configured without execution.
var errNotExecuting = status.Error(codes.Unimplemented, "this front end executes nothing")

// Execute returns the cached result of an action or executes it.
func (f *FrontEnd) Execute(req *repb.ExecuteRequest, out repb.Execution_ExecuteServer) error {
	ctx := out.Context()
	if f.jobs == nil {
		return errNotExecuting
	}
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return err
	}
	instance := req.GetInstanceName()
	space, err := f.authorize(ctx, instance, verbWrite)
	if err != nil {
		return err
	}
	digest := digestFromProto(function, req.GetActionDigest())
	if !req.GetSkipCacheLookup() {
		if result := f.cachedResult(ctx, instance, space, digest); result != nil {
			return out.Send(completedOperation("", digest, &repb.ExecuteResponse{Result: result, CachedResult: true}))
		}
	}
	action, command, err := f.loadAction(ctx, instance, space, digest)
	if err != nil {
		return err
	}
	required, err := actionRequirements(action, command, req.GetExecutionPolicy())
	if err != nil {
		return err
	}
	salt := ""
	if action.GetDoNotCache() || req.GetSkipCacheLookup() {
		salt = rand.Text()
	}
	t, err := f.joinTask(ctx, instance, space, f.credential(ctx), required, *entryOf(executionKey(digest, salt), digest))
	if err != nil {
		return err
	}
	callSlotOf(ctx).release() // from here on, the call only waits for the cluster
	if err := f.waitForJob(ctx, t); err != nil {
		return err
	}
	return f.streamOperation(ctx, out, t)
}

// cachedResult returns a cached result of an action, from this front end or a peer. It returns
// nil if there is none whose blobs all exist.
func (f *FrontEnd) cachedResult(ctx context.Context, instance, space string, action blobstore.Digest) *repb.ActionResult {
	if result, err := f.localResult(space, action); err == nil && f.checkComplete(ctx, instance, space, action.Function, result) == nil {
		return result
	}
	if result := f.peerResult(ctx, instance, action); result != nil && f.checkComplete(ctx, instance, space, action.Function, result) == nil {
		return result
	}
	return nil
}

// actionRequirements returns the machine requirements of an action, or an error if its
// platform, priority or timeout is not supported.
func actionRequirements(action *repb.Action, command *repb.Command, policy *repb.ExecutionPolicy) (requirements, error) {
	platform := action.GetPlatform()
	if platform == nil {
		//lint:ignore SA1019 clients of API version 2.1 and older set this field
		platform = command.GetPlatform()
	}
	required, err := requirementsOf(platform, policy.GetPriority())
	if err != nil {
		return required, err
	}
	_, err = timeoutOf(action)
	return required, err
}

// waitForJob waits until a task is assigned to a job. If the call ends first and no other call
// waits for the task, the task is dropped unless it is already being submitted. A job is
// cancelled later if it was submitted and no other client waits for it.
func (f *FrontEnd) waitForJob(ctx context.Context, t *task) error {
	select {
	case <-t.assigned:
		return t.err
	case <-ctx.Done():
	}
	f.executions.mu.Lock()
	t.waiters--
	dropped := t.waiters == 0 && f.abandonTask(t)
	f.executions.mu.Unlock()
	if !dropped {
		credential, name := f.credential(ctx), knownName(t.client)
		go func() {
			if <-t.assigned; t.err == nil {
				f.addWaiter(t.job, credential, name)
				f.removeWaiter(t.job)
			}
		}()
	}
	return statusError(ctx.Err())
}

// WaitExecution streams the state of an operation, whichever front end started it.
func (f *FrontEnd) WaitExecution(req *repb.WaitExecutionRequest, out repb.Execution_WaitExecutionServer) error {
	ctx := out.Context()
	if f.jobs == nil {
		return errNotExecuting
	}
	t, err := parseOperation(req.GetName())
	if err != nil {
		return err
	}
	if t.space, err = f.authorize(ctx, t.instance, verbWrite); err != nil {
		return err
	}
	f.executions.mu.Lock()
	if running := f.executions.running[t.key()]; running != nil && running.job == t.job {
		t = running
	}
	f.executions.mu.Unlock()
	callSlotOf(ctx).release()
	return f.streamOperation(ctx, out, t)
}

// DiscardedResults returns the number of results that were discarded because the execution
// already had one.
func (f *FrontEnd) DiscardedResults() int64 { return f.discardedResults.Load() }
