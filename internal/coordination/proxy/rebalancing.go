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
	// delegateSettleTime is the time for which a controller must have been alive without
	// interruption before shards are delegated to it.
	delegateSettleTime = 5 * time.Second
	// stateSilenceLimitS is the number of seconds without an answer from the state store after
	// which a controller gets no more shards.
	stateSilenceLimitS = 3
)

// shardSizes holds the number of machines in each shard of a partition.
type shardSizes [delegation.ShardCount]int

// Rebalance moves shards of this controller's partitions between it and its delegates, to balance
// the connections among the controllers.
func (p *Proxy) Rebalance(now time.Time) {
	if now.Sub(p.balancedAt) < delegation.MoveInterval {
		return
	}
	p.balancedAt = now
	view := p.balancingView(now, nil)
	view.MayMove = now.Sub(p.ShardMovedAt) >= delegation.MoveInterval
	view.MayReturn = now.Sub(p.ShardMovedAt) >= delegation.ReturnInterval
	for _, move := range delegation.PlanMoves(view) {
		p.reassign(move, now)
	}
}

// SpreadShards delegates shards of a partition that was just taken over, without waiting between
// the moves. All machines of the partition must be fenced and will send heartbeats, for which the
// leader's own sockets may not suffice. Delegates of the former leader keep their shards, so that
// agents need not reconnect.
func (p *Proxy) SpreadShards(partition *cluster.Partition, now time.Time) {
	p.adoptDelegates(partition, now)
	// The loads in the delegates' summaries already include the shards that they keep.
	view := p.balancingView(now, partition)
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

// adoptDelegates assigns the shards of a partition to the delegates that the former leader had
// assigned, if these are able to serve them.
func (p *Proxy) adoptDelegates(partition *cluster.Partition, now time.Time) {
	view := p.balancingView(now, partition)
	if view.DelegationUnsupported {
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

// reassign changes the delegate of a shard.
func (p *Proxy) reassign(move delegation.Move, now time.Time) {
	partition := p.Partitions[move.Partition]
	former := partition.Delegations.Delegate(move.Shard)
	p.log.Info("shard delegate changed", "partition", move.Partition, "shard", move.Shard, "controller", move.To, "former_controller", former, "reason", move.Reason)
	p.metrics.Count(telemetry.ShardMoved, 1)
	p.recordMove(overview.ShardMove{Partition: move.Partition, Shard: move.Shard, From: former, To: move.To, Reason: move.Reason}, now)
	partition.Delegations.Assign(move.Shard, move.To)
	p.ShardMovedAt = now
}

// balancingView returns the input of delegation.PlanMoves. takenOver is the partition that is being
// taken over, or nil. All machines of this partition count, although none has sent this controller
// a heartbeat yet.
func (p *Proxy) balancingView(now time.Time, takenOver *cluster.Partition) delegation.View {
	view := delegation.View{Own: p.Load(now)}
	p.addPeers(&view, now)
	sizes := p.countShards(takenOver)
	if takenOver != nil && sizes[takenOver] != nil {
		for shard, machines := range sizes[takenOver] {
			if takenOver.Delegations.Delegate(shard) == "" {
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

// addPeers adds the other controllers that have sent summaries to a view.
func (p *Proxy) addPeers(view *delegation.View, now time.Time) {
	for _, label := range p.Labels {
		other := p.Peers[label]
		if other == nil || other.Summary == nil {
			continue
		}
		summary := other.Summary
		if other.Alive(now) && summary.Capacity == 0 {
			view.DelegationUnsupported = true
		}
		view.Peers = append(view.Peers, delegation.Peer{
			Label:     label,
			Load:      delegation.Load{Machines: int(summary.Connected), Capacity: int(summary.Capacity)},
			Available: other.Alive(now) && summary.Capacity > 0 && summary.TokenRecords && !summary.Draining,
			Settled:   now.Sub(other.AliveSince) >= delegateSettleTime && summary.StateSilenceS < stateSilenceLimitS,
		})
	}
}

// countShards counts the machines in each shard of this controller's partitions. Machines count if
// they send heartbeats or belong to takenOver, the partition that is being taken over. Partitions
// without such machines are left out.
func (p *Proxy) countShards(takenOver *cluster.Partition) map[*cluster.Partition]*shardSizes {
	sizes := make(map[*cluster.Partition]*shardSizes)
	for _, machine := range p.Machines {
		partition := p.Partitions[machine.Record.Partition]
		if partition != takenOver && (!partition.Held || !partition.Ready || !machine.HasReported || machine.Lost) {
			continue
		}
		if sizes[partition] == nil {
			sizes[partition] = new(shardSizes)
		}
		sizes[partition][machine.Shard]++
	}
	return sizes
}
