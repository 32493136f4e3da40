package proxy

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/overview"
	"micaspindle/internal/telemetry"
)

const (
	// delegateSettleTime is how long a controller must have been alive without a gap
	// before shards are delegated to it.
	delegateSettleTime = 5 * time.Second
	// stateSilenceLimitS is for how many seconds the state store may have left a controller
	// without an answer for it to be given shards.
	stateSilenceLimitS = 3
)

// shardSizes counts a partition's machines by shard.
type shardSizes [delegation.ShardCount]int

// Rebalance moves shards of this controller's partitions between it and its delegates, so
// that the connections are spread evenly.
func (p *Proxy) Rebalance(now time.Time) {
	if now.Sub(p.balancedAt) < delegation.MoveInterval {
		return
	}
	p.balancedAt = now
	view := p.view(now, nil)
	view.MayMove = now.Sub(p.MovedAt) >= delegation.MoveInterval
	view.MayReturn = now.Sub(p.MovedAt) >= delegation.ReturnInterval
	for _, move := range delegation.PlanMoves(view) {
		p.reassign(move, now)
	}
}

// SpreadShards delegates shards of a partition that was just taken over at once, as many as
// its machines ask for: they must all be fenced and will all send heartbeats, and a leader
// that is alone with that may run out of sockets. Delegates of the former leader keep their
// shards, so that the agents' connections stay.
func (p *Proxy) SpreadShards(partition *cluster.Partition, now time.Time) {
	p.adoptDelegates(partition, now)
	// The loads in the delegates' summaries count the shards adopted above already.
	view := p.view(now, partition)
	view.MayMove = true
	for range delegation.ShardCount {
		moves := delegation.PlanMoves(view)
		for _, move := range moves {
			p.reassign(move, now)
			view.Apply(move)
		}
		if len(moves) == 0 {
			return
		}
	}
}

// adoptDelegates lets the delegates of a partition's former leader go on with their shards, as
// far as they are able to.
func (p *Proxy) adoptDelegates(partition *cluster.Partition, now time.Time) {
	view := p.view(now, partition)
	if view.Unsupported {
		return
	}
	for _, delegated := range p.Peers[partition.FormerLeader].PartitionSummary(partition).GetDelegated() {
		able := slices.ContainsFunc(view.Peers, func(candidate delegation.Peer) bool {
			return candidate.Label == delegated.Delegate && candidate.Available && candidate.Settled
		})
		if !able {
			continue
		}
		for _, shard := range delegated.Shards {
			if shard < delegation.ShardCount {
				p.reassign(delegation.Move{Partition: partition.Index, Shard: int(shard), To: delegated.Delegate, Reason: "as under the former leader"}, now)
			}
		}
	}
}

// reassign lets a shard change its delegate.
func (p *Proxy) reassign(move delegation.Move, now time.Time) {
	partition := p.Partitions[move.Partition]
	former := partition.Delegations.Delegate(move.Shard)
	p.log.Info("shard delegate changed", "partition", move.Partition, "shard", move.Shard, "controller", move.To, "former_controller", former, "reason", move.Reason)
	p.metrics.Count(telemetry.ShardMoved, 1)
	p.recordMove(overview.ShardMove{Part: move.Partition, Shard: move.Shard, From: former, To: move.To, Reason: move.Reason}, now)
	partition.Delegations.Assign(move.Shard, move.To)
	p.MovedAt = now
}

// view is what a plan of moves is made from. All machines of a partition that is just taken
// over count, though none of them has sent a heartbeat yet; nil: there is none.
func (p *Proxy) view(now time.Time, taken *cluster.Partition) delegation.View {
	view := delegation.View{Own: p.Load(now)}
	p.addPeers(&view, now)
	sizes := p.countShards(taken)
	if taken != nil && sizes[taken] != nil {
		for shard, machines := range sizes[taken] {
			if taken.Delegations.Delegate(shard) == "" {
				view.Own.Machines += machines
			}
		}
	}
	for _, partition := range p.Partitions {
		if sizes[partition] == nil {
			continue
		}
		for shard, machines := range sizes[partition] {
			view.Shards = append(view.Shards, delegation.Shard{
				Partition: partition.Index,
				Index:     shard,
				Machines:  machines,
				Delegate:  partition.Delegations.Delegate(shard),
			})
		}
	}
	return view
}

// addPeers adds the other controllers to a view, as far as their summaries are known.
func (p *Proxy) addPeers(view *delegation.View, now time.Time) {
	for _, label := range p.Labels {
		other := p.Peers[label]
		if other == nil || other.Summary == nil {
			continue
		}
		summary := other.Summary
		if other.Alive(now) && summary.Capacity == 0 {
			view.Unsupported = true
		}
		view.Peers = append(view.Peers, delegation.Peer{
			Label:     label,
			Load:      delegation.Load{Machines: int(summary.Connected), Capacity: int(summary.Capacity)},
			Available: other.Alive(now) && summary.Capacity > 0 && !summary.Draining,
			Settled:   now.Sub(other.AliveSince) >= delegateSettleTime && summary.StateSilenceS < stateSilenceLimitS,
		})
	}
}

// countShards counts the machines of each shard of the own partitions: those that send
// heartbeats, and all of the partition that is just taken over. Partitions without any are left out.
func (p *Proxy) countShards(taken *cluster.Partition) map[*cluster.Partition]*shardSizes {
	sizes := make(map[*cluster.Partition]*shardSizes)
	for _, machine := range p.Machines {
		partition := p.Partitions[machine.Record.Partition]
		if partition != taken && (!partition.Held || !partition.Ready || !machine.HasReported || machine.Lost) {
			continue
		}
		if sizes[partition] == nil {
			sizes[partition] = new(shardSizes)
		}
		sizes[partition][machine.Shard]++
	}
	return sizes
}
