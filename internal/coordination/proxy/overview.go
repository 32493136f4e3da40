package proxy

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/overview"
)

// recentMovesLimit is the number of recent shard moves that are kept for operators.
const recentMovesLimit = 16

// recordMove stores a shard move and drops the oldest ones beyond the limit.
func (p *Proxy) recordMove(move overview.ShardMove, now time.Time) {
	p.recentMoves, p.recentMoveTimes = append(p.recentMoves, move), append(p.recentMoveTimes, now)
	if excess := len(p.recentMoves) - recentMovesLimit; excess > 0 {
		p.recentMoves, p.recentMoveTimes = slices.Delete(p.recentMoves, 0, excess), slices.Delete(p.recentMoveTimes, 0, excess)
	}
}

// RecentMoves returns the recent shard moves, oldest first, with their ages.
func (p *Proxy) RecentMoves(now time.Time) []overview.ShardMove {
	list := slices.Clone(p.recentMoves)
	for i := range list {
		list[i].AgoS = now.Sub(p.recentMoveTimes[i]).Seconds()
	}
	return list
}

// Overview returns the delegates of a partition that this controller leads.
func (p *Proxy) Overview(partition *cluster.Partition, now time.Time) (list []overview.Delegate) {
	machines := map[string]int{}
	for _, machine := range p.Machines {
		if machine.Record.Partition == partition.Index && machine.HasReported && !machine.Lost {
			machines[partition.Delegations.Delegate(machine.Shard)]++
		}
	}
	for _, delegated := range partition.DelegationSummary(p.Labels) {
		active := slices.ContainsFunc(delegated.Shards, func(shard uint32) bool {
			return partition.Delegations.Active(int(shard), now)
		})
		list = append(list, overview.Delegate{
			Controller: delegated.Delegate,
			Shards:     len(delegated.Shards),
			Machines:   machines[delegated.Delegate],
			Active:     active,
		})
	}
	return list
}
