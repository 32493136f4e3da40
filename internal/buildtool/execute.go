package buildtool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// execution is the execution of an action, over several calls if some fail.
type execution struct {
	run    *run
	digest *repb.Digest
	// operation is the name of the operation, "" while there is none.
	operation string
	response  *repb.ExecuteResponse
}

// execute executes an action until there is a response, and returns it with the name of the
// operation. After a call that failed it waits for the same operation, at any front end.
func (r *run) execute(ctx context.Context, digest *repb.Digest) (*repb.ExecuteResponse, string, error) {
	e := &execution{run: r, digest: digest}
	err := r.retry(ctx, func() error { return e.call(ctx) })
	return e.response, e.operation, err
}

// call makes one call and follows it to its end.
func (e *execution) call(ctx context.Context) error {
	stream, err := e.open(ctx)
	if err == nil {
		err = e.follow(stream)
	}
	if errors.Is(err, io.EOF) {
		err = status.Error(codes.Unavailable, "the front end ended the call without a result")
	}
	if e.operation != "" && isLost(err) {
		e.operation = ""
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}

// open executes the action, or waits for its operation if there is one.
func (e *execution) open(ctx context.Context) (grpc.ServerStreamingClient[longrunningpb.Operation], error) {
	b := e.run.builder
	if e.operation != "" {
		return b.exec.WaitExecution(ctx, &repb.WaitExecutionRequest{Name: e.operation})
	}
	return b.exec.Execute(ctx, &repb.ExecuteRequest{InstanceName: b.instance, ActionDigest: e.digest, DigestFunction: b.Function})
}

// follow reads the states of the operation until it is done.
func (e *execution) follow(stream grpc.ServerStreamingClient[longrunningpb.Operation]) error {
	for {
		operation, err := stream.Recv()
		if err != nil {
			return err
		}
		if operation.GetName() != "" {
			e.operation = operation.GetName()
			e.run.countJob(e.operation)
		}
		if operation.GetDone() {
			return e.finish(operation)
		}
	}
}

// finish takes the response of an operation that is done. One whose job is gone is an
// error, and the action is executed again.
func (e *execution) finish(operation *longrunningpb.Operation) error {
	e.response = new(repb.ExecuteResponse)
	if err := operation.GetResponse().UnmarshalTo(e.response); err != nil {
		return fmt.Errorf("the operation's response: %w", err)
	}
	failure := e.response.GetStatus()
	if code := codes.Code(failure.GetCode()); code == codes.Aborted || code == codes.Unavailable {
		e.operation = ""
		return status.FromProto(failure).Err()
	}
	return nil
}

// isLost reports whether an operation is not known any more or its result is lost, so that
// the action must be executed again. An operation whose call has only failed is waited for.
func isLost(err error) bool {
	switch status.Code(err) {
	case codes.NotFound:
		return true
	case codes.Unavailable:
		return len(status.Convert(err).Details()) > 0
	}
	return false
}

// countJob counts the job that an operation's name holds.
func (r *run) countJob(operation string) {
	parts := strings.Split(operation, "/")
	if len(parts) < 2 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[parts[1]] = true
}
