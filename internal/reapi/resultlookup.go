package reapi

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/reapi/inspection"
)

const (
	// lookupInterval is the interval between lookups of awaited results at peers.
	lookupInterval = 250 * time.Millisecond
	// maxLookupsPerCall is the maximum number of executions in one lookup call.
	maxLookupsPerCall = 5000
)

// resultLookup is the lookup of an awaited execution result at peers.
type resultLookup struct {
	instance, execution string
	waiters             int // number of calls that share the lookup
	// found is closed once a peer reports that it has the result.
	found chan struct{}
}

// startLookup starts the lookup of a task's result at peers, or joins one that exists.
func (f *FrontEnd) startLookup(t *task) *resultLookup {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	key := t.instance + "/" + t.entry.Execution
	lookup := f.executions.lookups[key]
	if lookup == nil {
		lookup = &resultLookup{instance: t.instance, execution: t.entry.Execution, found: make(chan struct{})}
		f.executions.lookups[key] = lookup
	}
	lookup.waiters++
	return lookup
}

// endLookup removes one of the calls that share a lookup. The last one ends the lookup.
func (f *FrontEnd) endLookup(lookup *resultLookup) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	key := lookup.instance + "/" + lookup.execution
	if lookup.waiters--; lookup.waiters == 0 && f.executions.lookups[key] == lookup {
		delete(f.executions.lookups, key)
	}
}

// lookUpAtPeers asks each peer which of the awaited results it has.
func (f *FrontEnd) lookUpAtPeers(ctx context.Context) {
	if f.peers == nil {
		return
	}
	executions := map[string][]string{} // by instance
	f.executions.mu.Lock()
	for _, lookup := range f.executions.lookups {
		executions[lookup.instance] = append(executions[lookup.instance], lookup.execution)
	}
	f.executions.mu.Unlock()
	for _, p := range f.peers.available("") {
		for _, instance := range slices.Sorted(maps.Keys(executions)) {
			f.lookUpAt(ctx, p, instance, executions[instance])
		}
	}
}

// lookUpAt asks one peer for results and wakes the calls that wait for those it has. If the
// peer's version does not have this call, all calls are woken and query the peer themselves.
func (f *FrontEnd) lookUpAt(ctx context.Context, p *peer, instance string, executions []string) {
	for chunk := range slices.Chunk(executions, maxLookupsPerCall) {
		var reply *inspection.KnownReply
		err := p.call(ctx, peerTimeout, func(ctx context.Context) (err error) {
			reply, err = p.service.Known(ctx, &inspection.KnownRequest{Instance: instance, Executions: chunk})
			return err
		})
		if status.Code(err) == codes.Unimplemented {
			reply, err = &inspection.KnownReply{Executions: chunk}, nil
		}
		if err != nil {
			f.log.Debug("lookup of results at peer failed", "peer", p.addr, "error", err)
			return
		}
		f.wakeLookups(instance, reply.GetExecutions())
	}
}

// wakeLookups wakes the calls that wait for executions whose results a peer has.
func (f *FrontEnd) wakeLookups(instance string, executions []string) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	for _, execution := range executions {
		key := instance + "/" + execution
		if lookup := f.executions.lookups[key]; lookup != nil {
			delete(f.executions.lookups, key)
			close(lookup.found)
		}
	}
}
