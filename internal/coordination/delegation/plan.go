package delegation

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MoveInterval is the minimum time from a move until another shard is delegated.
	MoveInterval = time.Second
	// ReturnInterval is the minimum time from a move until a shard is taken back from an
	// available delegate.
	ReturnInterval = 10 * time.Second
)

// Fractions of a controller's capacity that are in use.
const (
	// delegateAbove is the fraction of the leader's capacity in use above which it delegates
	// shards.
	delegateAbove = 0.5
	// delegateFillLimit is the maximum fraction of a delegate's capacity in use after a
	// delegation.
	delegateFillLimit = 0.75
	// returnBelow is the maximum fraction of the leader's capacity in use at which it takes a
	// shard back, and returnFillLimit the maximum fraction with that shard.
	returnBelow     = 0.3
	returnFillLimit = 0.4
)

// Load is the number of machines that are connected to a controller, and the number for which it
// has sockets.
type Load struct{ Machines, Capacity int }

// utilizationWith returns the fraction of the capacity in use after adding machines.
func (l Load) utilizationWith(more int) float64 {
	return float64(l.Machines+more) / float64(max(1, l.Capacity))
}

// Peer is another controller that may become a delegate.
type Peer struct {
	Label string
	Load  Load
	// Available is true if the controller is alive, is not draining and supports delegation. An
	// available delegate keeps its shards.
	Available bool
	// Settled is true if the controller has been alive for a while and reaches the state store.
	// A controller that is available and settled may receive more shards.
	Settled bool
}

// Shard is a shard of a partition that the planning controller leads.
type Shard struct {
	Partition, Index, Machines int
	Delegate                   string // "" if the leader serves it
}

// View is the snapshot from which a plan is made.
type View struct {
	// Own is the load of the planning controller, including shards delegated to it.
	Own    Load
	Shards []Shard
	Peers  []Peer
	// DelegationUnsupported is true if a live controller does not support delegation. No shard
	// may be delegated then.
	DelegationUnsupported bool
	// MayMove is true if the last move was at least MoveInterval ago, and MayReturn if the last
	// move was at least ReturnInterval ago.
	MayMove, MayReturn bool
}

// Move is a change of a shard's delegate.
type Move struct {
	Partition, Shard int
	To               string // the new delegate, or "" to return the shard to the leader
	Reason           string // shown to operators
}

// PlanMoves returns the shards whose delegates are to change now. All shards whose delegates are not
// available return to the leader at once; otherwise, at most one shard moves. The plan is
// deterministic.
func PlanMoves(v View) []Move {
	if moves := reclaimShards(v); len(moves) > 0 || v.DelegationUnsupported {
		return moves
	}
	if move, ok := delegateShard(v); ok {
		return []Move{move}
	}
	if move, ok := returnShard(v); ok {
		return []Move{move}
	}
	return nil
}

// Apply updates the view as if a move had been made.
func (v *View) Apply(move Move) {
	for i := range v.Shards {
		shard := &v.Shards[i]
		if shard.Partition != move.Partition || shard.Index != move.Shard {
			continue
		}
		v.addMachines(shard.Delegate, -shard.Machines)
		v.addMachines(move.To, shard.Machines)
		shard.Delegate = move.To
	}
}

// addMachines adds machines to the load of a controller, or of the planning controller if label is
// "".
func (v *View) addMachines(label string, machines int) {
	if label == "" {
		v.Own.Machines += machines
	}
	for i := range v.Peers {
		if v.Peers[i].Label == label {
			v.Peers[i].Load.Machines += machines
		}
	}
}

// reclaimShards returns the moves that take all shards back from delegates that may not keep them.
func reclaimShards(v View) (moves []Move) {
	available := map[string]bool{}
	for _, p := range v.Peers {
		available[p.Label] = p.Available
	}
	for _, shard := range v.Shards {
		switch {
		case shard.Delegate == "":
		case v.DelegationUnsupported:
			moves = append(moves, Move{shard.Partition, shard.Index, "", "a controller does not support delegation"})
		case !available[shard.Delegate]:
			moves = append(moves, Move{shard.Partition, shard.Index, "", "its delegate can't go on"})
		}
	}
	return moves
}

// delegateShard returns the move of the largest possible shard to the least loaded controller that
// can take it.
func delegateShard(v View) (Move, bool) {
	if !v.MayMove || v.Own.utilizationWith(0) <= delegateAbove {
		return Move{}, false
	}
	largestFirst := slices.Clone(v.Shards)
	slices.SortStableFunc(largestFirst, func(a, b Shard) int { return b.Machines - a.Machines })
	leastLoadedFirst := slices.Clone(v.Peers)
	slices.SortFunc(leastLoadedFirst, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Load.utilizationWith(0), b.Load.utilizationWith(0)), cmp.Compare(a.Label, b.Label))
	})
	for _, shard := range largestFirst {
		if shard.Delegate != "" || shard.Machines == 0 {
			continue
		}
		for _, p := range leastLoadedFirst {
			if p.canTake(shard, v.Own) {
				return Move{shard.Partition, shard.Index, p.Label, "the leader is full"}, true
			}
		}
	}
	return Move{}, false
}

// canTake reports whether a shard may be delegated to the controller. The controller must remain less
// loaded than the leader, or the shard would move back and forth.
func (p Peer) canTake(shard Shard, leader Load) bool {
	if !p.Available || !p.Settled {
		return false
	}
	filled := p.Load.utilizationWith(shard.Machines)
	return filled <= delegateFillLimit && filled < leader.utilizationWith(-shard.Machines)
}

// returnShard returns the move of the smallest delegated shard back to the leader, if the leader's
// load is low.
func returnShard(v View) (Move, bool) {
	if !v.MayReturn || v.Own.utilizationWith(0) > returnBelow {
		return Move{}, false
	}
	var smallest *Shard
	for i := range v.Shards {
		shard := &v.Shards[i]
		if shard.Delegate != "" && (smallest == nil || shard.Machines < smallest.Machines) {
			smallest = shard
		}
	}
	if smallest == nil || v.Own.utilizationWith(smallest.Machines) > returnFillLimit {
		return Move{}, false
	}
	return Move{smallest.Partition, smallest.Index, "", "the leader has capacity again"}, true
}
