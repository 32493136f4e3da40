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

// Shares are the resources of a front end that teams and clients share fairly. A nil field
// means no limit.
type Shares struct {
	// Calls limits concurrent small calls, which use the processor. Transfers limits
	// concurrent transfers, and Bytes their total rate, which uses the disk and the network.
	Calls, Transfers, Bytes *admission.Queue
	// Waiting limits the actions that wait to be submitted.
	Waiting *admission.QuotaPool
	// Handoff limits the number of a team's actions that may wait for a machine in the
	// cluster. Further actions wait on the front end, where the team's clients are served in
	// turn.
	Handoff admission.HandoffLimits
}

const (
	// bytesPerCallCost is the number of request bytes that cost as much as a small call itself.
	bytesPerCallCost = 64 << 10
	// bytesPerTransferCost is the number of bytes that cost as much as a transfer call itself.
	bytesPerTransferCost = 1 << 20
)

// callSlot is the slot of a call in one of the shared queues. It is acquired after the caller
// is authorized, so that unauthorized calls take no slot.
type callSlot struct {
	queue        *admission.Queue
	cost         float64
	team, client string
	returnSlot   func()
}

// callSlotKey is the context key of a call's slot.
type callSlotKey struct{}

// callSlotOf returns the slot of the call that a context belongs to, or nil if it has none.
func callSlotOf(ctx context.Context) *callSlot {
	slot, _ := ctx.Value(callSlotKey{}).(*callSlot)
	return slot
}

// newCallSlot creates the slot of a unary call, without acquiring it.
func (f *FrontEnd) newCallSlot(ctx context.Context, req any) (context.Context, *callSlot) {
	slot := &callSlot{queue: f.config.Shares.Calls, cost: 1}
	if m, ok := req.(proto.Message); ok {
		slot.cost += float64(proto.Size(m)) / bytesPerCallCost
	}
	return context.WithValue(ctx, callSlotKey{}, slot), slot
}

// newStreamSlot creates the slot of a stream, without acquiring it. An execution counts as a
// small call until its action is validated. It holds no slot while it waits for the result.
func (f *FrontEnd) newStreamSlot(stream grpc.ServerStream, method string) (grpc.ServerStream, *callSlot) {
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

// Context returns the stream's context, which carries its slot.
func (s *slottedStream) Context() context.Context { return s.ctx }

// acquireSlot acquires the slot of an authorized call, waiting until the queue grants it. It
// does nothing if the call already holds its slot.
func (f *FrontEnd) acquireSlot(ctx context.Context, team, client string) error {
	slot := callSlotOf(ctx)
	if slot == nil || slot.team != "" {
		return nil
	}
	if client == "" {
		client = anonymousName(f.credential(ctx))
	}
	slot.team, slot.client = team, client
	if slot.queue == nil {
		return nil
	}
	returnSlot, err := slot.queue.Acquire(ctx, team, client, slot.cost)
	if err != nil {
		return statusError(err)
	}
	slot.returnSlot = returnSlot
	return nil
}

// anonymousPrefix begins the name that anonymousName gives to a client of unknown identity.
const anonymousPrefix = "credential "

// anonymousName returns a name for a client of unknown identity, derived from its credential.
func anonymousName(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return anonymousPrefix + hex.EncodeToString(sum[:8])
}

// addTransferCost adds the cost of the bytes of a transfer to the cost of its slot.
func addTransferCost(ctx context.Context, bytes int64) {
	if slot := callSlotOf(ctx); slot != nil {
		slot.cost += float64(bytes) / bytesPerTransferCost
	}
}

// knownName returns the name of a client, or "" if its identity is unknown.
func knownName(client string) string {
	if strings.HasPrefix(client, anonymousPrefix) {
		return ""
	}
	return client
}

// release gives the slot back if it was acquired.
func (slot *callSlot) release() {
	if slot != nil && slot.returnSlot != nil {
		slot.returnSlot()
		slot.returnSlot = nil
	}
}

// throttle waits until the team's share of the byte rate allows a transfer of the given size.
// It does not limit calls from peers, which already limited the client's call, or from workers,
// which serve all teams.
func (f *FrontEnd) throttle(ctx context.Context, bytes int) error {
	slot := callSlotOf(ctx)
	if f.config.Shares.Bytes == nil || slot == nil || slot.team == "" || bytes == 0 {
		return nil
	}
	returnSlot, err := f.config.Shares.Bytes.Acquire(ctx, slot.team, slot.client, float64(bytes))
	if err != nil {
		return statusError(err)
	}
	returnSlot()
	return nil
}
