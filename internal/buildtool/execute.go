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

// execution is the execution of one action. It takes several calls if some of them fail.
type execution struct {
	run       *run
	digest    *repb.Digest
	operation string // name, or "" if no operation is known
	response  *repb.ExecuteResponse
}

// execute executes an action and returns the response and the name of its operation. After
// a failed call it resumes waiting for the same operation, possibly through another front
// end.
func (r *run) execute(ctx context.Context, digest *repb.Digest) (*repb.ExecuteResponse, string, error) {
	e := &execution{run: r, digest: digest}
	err := r.retry(ctx, func() error { return e.call(ctx) })
	return e.response, e.operation, err
}

// call makes one call and reads its stream to the end. If the operation is lost, the next
// call executes the action again.
func (e *execution) call(ctx context.Context) error {
	stream, err := e.openStream(ctx)
	if err == nil {
		err = e.follow(stream)
	}
	if errors.Is(err, io.EOF) {
		err = status.Error(codes.Unavailable, "the front end closed the stream before the operation was done")
	}
	if e.operation != "" && isOperationLost(err) {
		e.operation = ""
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}

// openStream calls WaitExecution if the operation is known, otherwise Execute.
func (e *execution) openStream(ctx context.Context) (grpc.ServerStreamingClient[longrunningpb.Operation], error) {
	b := e.run.builder
	if e.operation != "" {
		return b.exec.WaitExecution(ctx, &repb.WaitExecutionRequest{Name: e.operation})
	}
	return b.exec.Execute(ctx, &repb.ExecuteRequest{InstanceName: b.instance, ActionDigest: e.digest, DigestFunction: b.DigestFunction})
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

// finish stores the response of an operation that is done. If the operation was aborted or
// its job was lost, it returns an error after which the action is executed again.
func (e *execution) finish(operation *longrunningpb.Operation) error {
	e.response = new(repb.ExecuteResponse)
	if err := operation.GetResponse().UnmarshalTo(e.response); err != nil {
		return fmt.Errorf("decode the response of the operation: %w", err)
	}
	failure := e.response.GetStatus()
	if code := codes.Code(failure.GetCode()); code == codes.Aborted || code == codes.Unavailable {
		e.operation = ""
		return status.FromProto(failure).Err()
	}
	return nil
}

// isOperationLost reports whether an error means that the operation is unknown or its result
// is lost. Then the action must be executed again. After other errors the client waits for
// the same operation.
func isOperationLost(err error) bool {
	switch status.Code(err) {
	case codes.NotFound:
		return true
	case codes.Unavailable:
		return len(status.Convert(err).Details()) > 0
	}
	return false
}

// countJob counts the job whose ID is part of an operation's name.
func (r *run) countJob(operation string) {
	parts := strings.Split(operation, "/")
	if len(parts) < 2 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[parts[1]] = true
}
