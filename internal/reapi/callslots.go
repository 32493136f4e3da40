package reapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/admission"
)

// Shares are the resources that the teams and clients of a front end share fairly:
// slots of small calls (its processor), slots of transfers, the rate of transferred
// bytes (its disk and network), and actions that wait to be submitted. A nil field
// means no bound.
type Shares struct {
	Calls, Transfers, Bytes *admission.Queue
	Waiting                 *admission.Ledger
	// Ahead bounds how many of a team's actions may wait for a machine in the cluster.
	// Further ones wait here, where the team's clients take turns.
	Ahead admission.HandoffLimits
}

const (
	// bytesPerCallCost is how many bytes of a small call cost as much as the call itself.
	bytesPerCallCost = 64 << 10
	// bytesPerTransferCost is how many bytes of a transfer cost as much as its call.
	bytesPerTransferCost = 1 << 20
)

// callSlot is a call's slot among the shared ones. It is acquired only once the caller
// is authorized, so that callers without rights occupy none.
type callSlot struct {
	queue        *admission.Queue
	cost         float64
	team, client string
	returnSlot   func()
}

// callSlotKey is the context key of a call's slot.
type callSlotKey struct{}

// callSlotOf returns the slot of the call that a context belongs to, nil if none.
func callSlotOf(ctx context.Context) *callSlot {
	slot, _ := ctx.Value(callSlotKey{}).(*callSlot)
	return slot
}

// withCallSlot prepares the slot of a unary call.
func (f *FrontEnd) withCallSlot(ctx context.Context, req any) (context.Context, *callSlot) {
	slot := &callSlot{queue: f.config.Shares.Calls, cost: 1}
	if m, ok := req.(proto.Message); ok {
		slot.cost += float64(proto.Size(m)) / bytesPerCallCost
	}
	return context.WithValue(ctx, callSlotKey{}, slot), slot
}

// withStreamSlot prepares the slot of a stream. An execution counts as a small call
// until its action is validated, and holds no slot while its client waits for the result.
func (f *FrontEnd) withStreamSlot(stream grpc.ServerStream, method string) (grpc.ServerStream, *callSlot) {
	slot := &callSlot{queue: f.config.Shares.Transfers, cost: 1}
	if strings.HasPrefix(method, "/build.bazel.remote.execution.v2.Execution/") {
		slot.queue = f.config.Shares.Calls
	}
	return &slottedStream{stream, context.WithValue(stream.Context(), callSlotKey{}, slot)}, slot
}

// slottedStream is a stream whose context carries its slot.
type slottedStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context returns the stream's context, with its slot.
func (s *slottedStream) Context() context.Context { return s.ctx }

// acquireSlot waits for the slot of an authorized call; once acquired, further calls of
// it do nothing.
func (f *FrontEnd) acquireSlot(ctx context.Context, team, who string) error {
	slot := callSlotOf(ctx)
	if slot == nil || slot.team != "" {
		return nil
	}
	if who == "" {
		who = anonymousName(f.credential(ctx))
	}
	slot.team, slot.client = team, who
	if slot.queue == nil {
		return nil
	}
	leave, err := slot.queue.Enter(ctx, team, who, slot.cost)
	if err != nil {
		return failure(err)
	}
	slot.returnSlot = leave
	return nil
}

// anonymousPrefix begins the name of a client whose identity is not known.
const anonymousPrefix = "credential "

// anonymousName tells clients of unknown identity apart by their credentials.
func anonymousName(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return anonymousPrefix + hex.EncodeToString(sum[:8])
}

// addTransferCost adds the bytes that a transfer will move to the cost of its slot.
func addTransferCost(ctx context.Context, bytes int64) {
	if slot := callSlotOf(ctx); slot != nil {
		slot.cost += float64(bytes) / bytesPerTransferCost
	}
}

// knownName returns a client's name, "" if its identity is not known.
func knownName(who string) string {
	if strings.HasPrefix(who, anonymousPrefix) {
		return ""
	}
	return who
}

// release returns the slot, if it was acquired.
func (slot *callSlot) release() {
	if slot != nil && slot.returnSlot != nil {
		slot.returnSlot()
		slot.returnSlot = nil
	}
}

// throttle waits for the team's share of the byte rate. Calls of other front ends and
// of workers are not throttled: the client's own call was, and workers serve all teams.
func (f *FrontEnd) throttle(ctx context.Context, bytes int) error {
	slot := callSlotOf(ctx)
	if f.config.Shares.Bytes == nil || slot == nil || slot.team == "" || bytes == 0 {
		return nil
	}
	leave, err := f.config.Shares.Bytes.Enter(ctx, slot.team, slot.client, float64(bytes))
	if err != nil {
		return failure(err)
	}
	leave()
	return nil
}
