package reapi

import (
	"context"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// An execution has exactly one result, even if several attempts of its task report results,
// possibly to different front ends. The execution's primary decides which result is recorded:
// it is the first front end in the execution's rendezvous order, which is the same on all
// front ends. The others forward results to the primary and store copies of the recorded
// ones. While the primary does not answer, workers retry. The next front end in the order
// becomes primary only once the outage exceeds the grace period.

// primary returns the peer that is an execution's primary, or nil if it is this front end.
func (f *FrontEnd) primary(execution string, now time.Time) *peer {
	if f.peers == nil {
		return nil
	}
	own := rendezvousWeight(f.config.SelfAddr, execution)
	for _, p := range f.peers.ranked(execution) {
		if rendezvousWeight(p.addr, execution) < own {
			return nil
		}
		if !p.outage.exceeds(now, f.grace()) {
			return p
		}
	}
	return nil
}

// forwardToPrimary forwards a result to the execution's primary and returns the result that is
// recorded there. It returns nil if this front end is the primary.
func (f *FrontEnd) forwardToPrimary(ctx context.Context, req *repb.UpdateActionResultRequest, execution string) (*repb.ActionResult, error) {
	p := f.primary(execution, time.Now())
	if p == nil {
		return nil, nil
	}
	var recorded *repb.ActionResult
	err := p.call(metadata.AppendToOutgoingContext(ctx, ExecutionMetadataKey, execution), forwardTimeout, func(ctx context.Context) (err error) {
		recorded, err = p.actionCache.UpdateActionResult(ctx, req)
		return err
	})
	switch status.Code(err) {
	case codes.OK:
		return recorded, nil
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		p.outage.failed(time.Now(), f.grace())
		return nil, retryLater(codes.Unavailable, time.Second, "the front end that decides on this result does not answer")
	}
	return nil, err
}

// forwardTimeout is the timeout for forwarding a result. It is shorter than the timeout of the
// forwarding call, so that the call can still respond.
const forwardTimeout = callTimeout / 2
