package delegation

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MoveInterval is the least time between two shards that are delegated.
	MoveInterval = time.Second
	// ReturnInterval is the least time between two shards that are taken back from delegates
	// that are well.
	ReturnInterval = 10 * time.Second
)

// Fractions of a controller's capacity that are in use.
const (
	// delegateAbove is beyond which a leader begins to delegate shards.
	delegateAbove = 0.5
	// delegateFillLimit is up to which a delegate is given shards.
	delegateFillLimit = 0.75
	// returnBelow is up to which a leader takes shards back, as long as that does not lead
	// beyond returnFillLimit.
	returnBelow     = 0.3
	returnFillLimit = 0.4
)

// Load is how many machines are connected to a controller, and how many its
// sockets hold.
type Load struct{ Machines, Capacity int }

// with is the fraction of the capacity in use with so many more machines.
func (l Load) with(more int) float64 {
	return float64(l.Machines+more) / float64(max(1, l.Capacity))
}

// Peer is another controller as a possible delegate.
type Peer struct {
	Label string
	Load  Load
	// Available: it is alive, is not draining and knows delegation, so that it goes on
	// with the shards it has.
	Available bool
	// Settled: it has been alive for a while and reaches the state store as well, so
	// that it may be given more shards.
	Settled bool
}

// Shard is one shard of a partition that the planning controller leads.
type Shard struct {
	Partition, Index, Machines int
	Delegate                   string // "": the leader itself
}

// View is what a plan is made from.
type View struct {
	// Own counts the machines whose connections are here, also those of other leaders' shards.
	Own    Load
	Shards []Shard
	Peers  []Peer
	// Unsupported: some live controller does not know delegation, so that
	// nothing may be delegated.
	Unsupported bool
	// MayMove: the last move is at least MoveInterval ago. MayReturn: it is at least
	// ReturnInterval ago, so that a shard may come back though its delegate is well.
	MayMove, MayReturn bool
}

// Move is a change of a shard's delegate; To "": back to the leader. Reason is shown to
// operators.
type Move struct {
	Partition, Shard int
	To               string
	Reason           string
}

// PlanMoves says which shards change their delegates now. Those whose delegate can't go on
// come back at once; otherwise at most one moves. The same view gives the same plan.
func PlanMoves(v View) []Move {
	if moves := recall(v); len(moves) > 0 || v.Unsupported {
		return moves
	}
	if move, ok := delegateShard(v); ok {
		return []Move{move}
	}
	if move, ok := takeBack(v); ok {
		return []Move{move}
	}
	return nil
}

// Apply changes the view to what it will be once a move is done.
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

// addMachines adds machines to the load of a controller; "" is the planning one.
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

// recall takes back all shards whose delegate can't go on.
func recall(v View) (moves []Move) {
	available := map[string]bool{}
	for _, p := range v.Peers {
		available[p.Label] = p.Available
	}
	for _, shard := range v.Shards {
		switch {
		case shard.Delegate == "":
		case v.Unsupported:
			moves = append(moves, Move{shard.Partition, shard.Index, "", "a controller does not support delegation"})
		case !available[shard.Delegate]:
			moves = append(moves, Move{shard.Partition, shard.Index, "", "its delegate can't go on"})
		}
	}
	return moves
}

// delegateShard moves the largest shard that fits to the controller that is least full.
func delegateShard(v View) (Move, bool) {
	if !v.MayMove || v.Own.with(0) <= delegateAbove {
		return Move{}, false
	}
	largestFirst := slices.Clone(v.Shards)
	slices.SortStableFunc(largestFirst, func(a, b Shard) int { return b.Machines - a.Machines })
	leastFullFirst := slices.Clone(v.Peers)
	slices.SortFunc(leastFullFirst, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Load.with(0), b.Load.with(0)), cmp.Compare(a.Label, b.Label))
	})
	for _, shard := range largestFirst {
		if shard.Delegate != "" || shard.Machines == 0 {
			continue
		}
		for _, p := range leastFullFirst {
			if p.fits(shard, v.Own) {
				return Move{shard.Partition, shard.Index, p.Label, "the leader is full"}, true
			}
		}
	}
	return Move{}, false
}

// fits says whether a shard may be delegated to the controller. It must stay less full than
// the leader, or the shard would move back and forth.
func (p Peer) fits(shard Shard, leader Load) bool {
	if !p.Available || !p.Settled {
		return false
	}
	filled := p.Load.with(shard.Machines)
	return filled <= delegateFillLimit && filled < leader.with(-shard.Machines)
}

// takeBack moves the smallest delegated shard back to a leader with plenty of free capacity.
func takeBack(v View) (Move, bool) {
	if !v.MayReturn || v.Own.with(0) > returnBelow {
		return Move{}, false
	}
	var smallest *Shard
	for i := range v.Shards {
		shard := &v.Shards[i]
		if shard.Delegate != "" && (smallest == nil || shard.Machines < smallest.Machines) {
			smallest = shard
		}
	}
	if smallest == nil || v.Own.with(smallest.Machines) > returnFillLimit {
		return Move{}, false
	}
	return Move{smallest.Partition, smallest.Index, "", "the leader has capacity again"}, true
}
