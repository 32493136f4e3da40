// Package delegation divides the machines of a part among controllers that carry them: a
// carrier keeps the workers' connections, answers their reports under a grant of the
// part's owner and passes on what comes and goes, while the owner alone decides. The
// package knows which share a machine is in, who should carry what (Plan) and what may
// have been answered under grants (Ledger). It knows no controller, and nothing of how
// messages travel.
package delegation

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// ShardCount is how many shares a part's machines are in: several for each controller, and few
// enough to be named one by one in messages.
const ShardCount = 16

// ShardOf is the share that a machine is in, the same for everybody.
func ShardOf(machine string) int {
	h := fnv.New32a()
	h.Write([]byte(machine))
	return int(h.Sum32() % ShardCount)
}

// GrantDuration is how long a carrier may answer after it has asked, at the most. Whoever
// concludes that a former owner has stopped answering adds it, since its carriers may
// not have.
const GrantDuration = 2 * time.Second

// Load of a controller, in machines: those that keep their connections with it, and as
// many as its sockets hold.
type Load struct{ Machines, Capacity int }

// with says how full it would be with more machines.
func (l Load) with(more int) float64 {
	return float64(l.Machines+more) / float64(max(1, l.Capacity))
}

// Peer is another controller as a carrier.
type Peer struct {
	Label string
	Load  Load
	// Available: it is heard, not about to end, and knows shares, so that it goes on with what
	// it carries; Fit: it is settled and reaches the state service as well.
	Available, Settled bool
}

// Shard is one share of a part that the asking controller owns.
type Shard struct {
	Partition, Index, Machines int
	Delegate                   string // its carrier; "": the owner itself
}

// View is what a plan is made of.
type View struct {
	Own    Load // machines whose connections are here, shares of others among them
	Shards []Shard
	Peers  []Peer
	// Unsupported: some controller that is heard does not know shares, so nothing is carried.
	Unsupported bool
	// MayMove: the last move is long enough ago for another one (Pause, or Return for
	// shares that come back though their carrier is well).
	MayMove, MayReturn bool
}

const (
	// MoveInterval is the least time between two shares that are given away, Return between
	// two that are taken back from carriers that are well.
	MoveInterval   = time.Second
	ReturnInterval = 10 * time.Second

	// full is where an owner begins to give shares away, brim what no carrier is filled
	// beyond; empty is where it takes them back, as long as it stays below roomy.
	full, brim, roomy, empty = 0.5, 0.75, 0.4, 0.3
)

// Move is a change of a share's carrier; To "": back to the owner.
type Move struct {
	Partition, Shard int
	To               string
	Reason           string
}

// PlanMoves says which shares change hands now. Those whose carrier can't go on come back at
// once; otherwise at most one moves. The same view gives the same plan.
func PlanMoves(v View) []Move {
	peers := map[string]Peer{}
	for _, p := range v.Peers {
		peers[p.Label] = p
	}
	var moves []Move
	for _, h := range v.Shards {
		switch {
		case h.Delegate == "":
		case v.Unsupported:
			moves = append(moves, Move{h.Partition, h.Index, "", "a controller does not know shares"})
		case !peers[h.Delegate].Available:
			moves = append(moves, Move{h.Partition, h.Index, "", "its carrier can't go on"})
		}
	}
	if len(moves) > 0 || v.Unsupported {
		return moves
	}
	if m, ok := giveAway(v); ok {
		return []Move{m}
	}
	if m, ok := takeBack(v); ok {
		return []Move{m}
	}
	return nil
}

// Apply makes the view what it will be once a move is done.
func (v *View) Apply(m Move) {
	for i := range v.Shards {
		h := &v.Shards[i]
		if h.Partition != m.Partition || h.Index != m.Shard {
			continue
		}
		shift := func(label string, machines int) {
			if label == "" {
				v.Own.Machines += machines
			}
			for k := range v.Peers {
				if v.Peers[k].Label == label {
					v.Peers[k].Load.Machines += machines
				}
			}
		}
		shift(h.Delegate, -h.Machines)
		shift(m.To, h.Machines)
		h.Delegate = m.To
	}
}

// giveAway moves the largest share that fits to the controller that is least full.
func giveAway(v View) (Move, bool) {
	if !v.MayMove || v.Own.with(0) <= full {
		return Move{}, false
	}
	held := slices.Clone(v.Shards)
	slices.SortStableFunc(held, func(a, b Shard) int { return b.Machines - a.Machines })
	peers := slices.Clone(v.Peers)
	slices.SortFunc(peers, func(a, b Peer) int {
		if x, y := a.Load.with(0), b.Load.with(0); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Label, b.Label)
	})
	for _, h := range held {
		if h.Delegate != "" || h.Machines == 0 {
			continue
		}
		for _, p := range peers {
			// It must stay less full than this one, or the share would wander.
			if p.Available && p.Settled && p.Load.with(h.Machines) <= brim && p.Load.with(h.Machines) < v.Own.with(-h.Machines) {
				return Move{h.Partition, h.Index, p.Label, "the owner is full"}, true
			}
		}
	}
	return Move{}, false
}

// takeBack brings the smallest share home where there is plenty of room again.
func takeBack(v View) (Move, bool) {
	if !v.MayReturn || v.Own.with(0) > empty {
		return Move{}, false
	}
	var best *Shard
	for i := range v.Shards {
		if h := &v.Shards[i]; h.Delegate != "" && (best == nil || h.Machines < best.Machines) {
			best = h
		}
	}
	if best == nil || v.Own.with(best.Machines) > roomy {
		return Move{}, false
	}
	return Move{best.Partition, best.Index, "", "the owner has room again"}, true
}
