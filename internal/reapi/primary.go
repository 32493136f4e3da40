package reapi

import (
	"context"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// An execution has one result, whichever attempts of its task report one, and to
// whichever front end. One front end, the execution's primary, decides: the first in the
// execution's rendezvous order, which all front ends compute alike. The others forward
// results to it. While it does not answer, the worker retries; only when it has been
// silent for longer than the grace period does the next one in the order take its place.
// What the others store are copies of what the primary decided.

// primary returns the peer that is an execution's primary, nil if this front end is.
func (f *FrontEnd) primary(execution string, now time.Time) *peer {
	if f.peers == nil {
		return nil
	}
	own := rendezvousWeight(f.config.Self, execution)
	for _, p := range f.peers.ranked(execution) {
		if rendezvousWeight(p.addr, execution) < own {
			return nil
		}
		if !p.silence.exceeds(now, f.grace()) {
			return p
		}
	}
	return nil
}

// forwardToPrimary forwards a result to the execution's primary and returns the recorded
// one; nil if this front end is the primary.
func (f *FrontEnd) forwardToPrimary(ctx context.Context, req *repb.UpdateActionResultRequest, execution string) (*repb.ActionResult, error) {
	p := f.primary(execution, time.Now())
	if p == nil {
		return nil, nil
	}
	var recorded *repb.ActionResult
	err := p.call(metadata.AppendToOutgoingContext(ctx, ExecutionMark, execution), forwardTimeout, func(ctx context.Context) (err error) {
		recorded, err = p.actionCache.UpdateActionResult(ctx, req)
		return err
	})
	switch status.Code(err) {
	case codes.OK:
		return recorded, nil
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		p.silence.failed(time.Now(), f.grace())
		return nil, retryLater(codes.Unavailable, time.Second, "the front end that decides on this result does not answer")
	}
	return nil, err
}

// forwardTimeout bounds a forwarded result. It leaves the call that forwards it time to
// answer.
const forwardTimeout = callTimeout / 2
