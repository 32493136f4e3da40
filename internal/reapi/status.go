package reapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
)

// statusError converts an error of the blob store or of admission control into a gRPC status.
func statusError(err error) error {
	var full *blobstore.FullError
	var busy *admission.BusyError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &busy):
		return retryLater(codes.ResourceExhausted, busy.RetryAfter, "%v", busy)
	case errors.As(err, &full):
		return retryLater(codes.ResourceExhausted, full.RetryAfter, "%v", full)
	case errors.Is(err, blobstore.ErrNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, blobstore.ErrInvalid), errors.Is(err, blobstore.ErrMismatch), errors.Is(err, blobstore.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return status.FromContextError(err).Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return status.Errorf(codes.Internal, "content store: %v", err)
}

// retryLater returns a status with the delay after which the client should retry.
func retryLater(code codes.Code, after time.Duration, format string, args ...any) error {
	st := status.New(code, fmt.Sprintf(format, args...))
	if detailed, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = detailed
	}
	return st.Err()
}

// statusOf returns the status of one blob in the response to a batch.
func statusOf(err error) *rpcstatus.Status {
	if err == nil {
		return &rpcstatus.Status{}
	}
	return status.Convert(statusError(err)).Proto()
}

// missingBlobs returns the status that the API defines for an action whose blobs must be
// uploaded before it can be executed.
func missingBlobs(missing []blobstore.Digest) error {
	st := status.New(codes.FailedPrecondition, fmt.Sprintf("%d blobs are missing, %s first", len(missing), missing[0]))
	precondition := &errdetails.PreconditionFailure{}
	for _, d := range missing {
		precondition.Violations = append(precondition.Violations, &errdetails.PreconditionFailure_Violation{Type: "MISSING", Subject: "blobs/" + d.String()})
	}
	if detailed, err := st.WithDetails(precondition); err == nil {
		st = detailed
	}
	return st.Err()
}
