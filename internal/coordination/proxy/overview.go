package proxy

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/overview"
)

// recentMovesLimit is how many changes of delegates are stored for operators.
const recentMovesLimit = 16

// recordMove stores a change of a shard's delegate and drops the oldest beyond the limit.
func (p *Proxy) recordMove(move overview.ShardMove, now time.Time) {
	p.moves, p.moveTimes = append(p.moves, move), append(p.moveTimes, now)
	if excess := len(p.moves) - recentMovesLimit; excess > 0 {
		p.moves, p.moveTimes = slices.Delete(p.moves, 0, excess), slices.Delete(p.moveTimes, 0, excess)
	}
}

// RecentMoves lists the last changes of delegates, oldest first, with how long ago they were.
func (p *Proxy) RecentMoves(now time.Time) []overview.ShardMove {
	list := slices.Clone(p.moves)
	for i := range list {
		list[i].AgoS = now.Sub(p.moveTimes[i]).Seconds()
	}
	return list
}

// Overview lists the delegates of a partition that this controller leads.
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
