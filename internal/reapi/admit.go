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

// Shares are what a gate's teams and clients share: places of small calls (its
// processor), places of transfers, the rate of transferred bytes (its disk and
// network), and actions that wait to be submitted. What is nil has no bound.
type Shares struct {
	Calls, Transfers, Bytes *admission.Queue
	Waiting                 *admission.Ledger
	// Ahead is how many of a team's actions may wait for a machine in the cluster
	// before further ones wait here, where its clients take turns.
	Ahead admission.HandoffLimits
}

// callCost is how many bytes of a small call cost as much as the call itself.
const callCost = 64 << 10

// transferCost is the same of a transfer.
const transferCost = 1 << 20

// visit is a call's place in the shares. It takes one once it is known whose the
// call is, so that those who have no right take none.
type visit struct {
	queue     *admission.Queue
	cost      float64
	team, who string
	leave     func()
}

type visitKey struct{}

func visitOf(ctx context.Context) *visit {
	v, _ := ctx.Value(visitKey{}).(*visit)
	return v
}

// visits gives a unary call its visit.
func (g *FrontEnd) visits(ctx context.Context, req any) (context.Context, *visit) {
	v := &visit{queue: g.config.Shares.Calls, cost: 1}
	if m, ok := req.(proto.Message); ok {
		v.cost += float64(proto.Size(m)) / callCost
	}
	return context.WithValue(ctx, visitKey{}, v), v
}

// visitStream gives a stream its visit. An execution counts as a small call for as
// long as it is looked at, and takes no place while it is waited for.
func (g *FrontEnd) visitStream(ss grpc.ServerStream, method string) (grpc.ServerStream, *visit) {
	v := &visit{queue: g.config.Shares.Transfers, cost: 1}
	if strings.HasPrefix(method, "/build.bazel.remote.execution.v2.Execution/") {
		v.queue = g.config.Shares.Calls
	}
	return &visitedStream{ss, context.WithValue(ss.Context(), visitKey{}, v)}, v
}

type visitedStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context is the stream's, with its visit.
func (s *visitedStream) Context() context.Context { return s.ctx }

// enter takes a place for a call that may be made.
func (g *FrontEnd) enter(ctx context.Context, team, who string) error {
	v := visitOf(ctx)
	if v == nil || v.team != "" {
		return nil
	}
	if who == "" {
		who = stranger(g.credential(ctx))
	}
	v.team, v.who = team, who
	if v.queue == nil {
		return nil
	}
	leave, err := v.queue.Enter(ctx, team, who, v.cost)
	if err != nil {
		return failure(err)
	}
	v.leave = leave
	return nil
}

// strangers begin the names of clients that nobody asks for theirs.
const strangers = "credential "

// stranger tells clients apart whose names nobody asks for.
func stranger(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return strangers + hex.EncodeToString(sum[:8])
}

// weigh makes a transfer cost what it is about to move.
func weigh(ctx context.Context, bytes int64) {
	if v := visitOf(ctx); v != nil {
		v.cost += float64(bytes) / transferCost
	}
}

// knownName is the name of a client, "" if nobody has asked for it.
func knownName(who string) string {
	if strings.HasPrefix(who, strangers) {
		return ""
	}
	return who
}

// over gives the place back.
func (v *visit) over() {
	if v != nil && v.leave != nil {
		v.leave()
		v.leave = nil
	}
}

// pace waits for a transfer's share of the rate. Calls between gates and of
// machines are not paced: the client's own was, and machines work for all teams.
func (g *FrontEnd) pace(ctx context.Context, bytes int) error {
	v := visitOf(ctx)
	if g.config.Shares.Bytes == nil || v == nil || v.team == "" || bytes == 0 {
		return nil
	}
	leave, err := g.config.Shares.Bytes.Enter(ctx, v.team, v.who, float64(bytes))
	if err != nil {
		return failure(err)
	}
	leave()
	return nil
}
