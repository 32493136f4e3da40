package reapi

import (
	"context"
	"crypto/rand"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// errNotExecuting is the answer of a front end that is configured to store blobs only.
var errNotExecuting = status.Error(codes.Unimplemented, "this front end executes nothing")

// Execute executes an action, or answers with its cached result.
func (f *FrontEnd) Execute(req *repb.ExecuteRequest, out repb.Execution_ExecuteServer) error {
	ctx := out.Context()
	if f.jobs == nil {
		return errNotExecuting
	}
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return err
	}
	instance := req.GetInstanceName()
	space, err := f.space(ctx, instance, verbWrite)
	if err != nil {
		return err
	}
	digest := digestIn(function, req.GetActionDigest())
	if !req.GetSkipCacheLookup() {
		if result := f.cachedResult(ctx, instance, space, digest); result != nil {
			return out.Send(completedOperation("", digest, &repb.ExecuteResponse{Result: result, CachedResult: true}))
		}
	}
	action, command, err := f.loadAction(ctx, instance, space, digest)
	if err != nil {
		return err
	}
	needs, err := actionRequirements(action, command, req.GetExecutionPolicy())
	if err != nil {
		return err
	}
	salt := ""
	if action.GetDoNotCache() || req.GetSkipCacheLookup() {
		salt = rand.Text()
	}
	t, err := f.joinTask(ctx, instance, space, f.credential(ctx), needs, *entryOf(executionKey(digest, salt), digest))
	if err != nil {
		return err
	}
	callSlotOf(ctx).release() // from here on it waits for the cluster
	if err := f.waitForJob(ctx, t); err != nil {
		return err
	}
	return f.follow(ctx, out, t)
}

// cachedResult returns the complete result of an action, from here or from a peer; nil
// if there is none.
func (f *FrontEnd) cachedResult(ctx context.Context, instance, space string, action blobstore.Digest) *repb.ActionResult {
	if result, err := f.localResult(space, action); err == nil && f.checkComplete(ctx, instance, space, action.Function, result) == nil {
		return result
	}
	if result := f.peerResult(ctx, instance, action); result != nil && f.checkComplete(ctx, instance, space, action.Function, result) == nil {
		return result
	}
	return nil
}

// actionRequirements returns what an action requires of a machine, and an error if its
// platform, priority or timeout is not supported.
func actionRequirements(action *repb.Action, command *repb.Command, policy *repb.ExecutionPolicy) (requirements, error) {
	platform := action.GetPlatform()
	if platform == nil {
		//lint:ignore SA1019 clients of version 2.1 and older put it there
		platform = command.GetPlatform()
	}
	needs, err := requirementsOf(platform, policy.GetPriority())
	if err != nil {
		return needs, err
	}
	_, err = timeoutOf(action)
	return needs, err
}

// waitForJob waits until a task has its job. If the caller gives up first and nobody else
// waits, the task is dropped, or its job is treated as one that nobody waits for.
func (f *FrontEnd) waitForJob(ctx context.Context, t *task) error {
	select {
	case <-t.placed:
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
			if <-t.placed; t.err == nil {
				f.addWaiter(t.job, credential, name)
				f.removeWaiter(t.job)
			}
		}()
	}
	return failure(ctx.Err())
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
	if t.space, err = f.space(ctx, t.instance, verbWrite); err != nil {
		return err
	}
	f.executions.mu.Lock()
	if running := f.executions.running[t.key()]; running != nil && running.job == t.job {
		t = running
	}
	f.executions.mu.Unlock()
	callSlotOf(ctx).release()
	return f.follow(ctx, out, t)
}

// Discarded counts results that were discarded since the execution had one already.
func (f *FrontEnd) Discarded() int64 { return f.discarded.Load() }
