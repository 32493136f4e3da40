package cluster

import (
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol/peer"
)

// DelegationSummary returns the partition's delegates and their shards, in the order of
// labels, for the summary to other controllers.
func (p *Partition) DelegationSummary(labels []string) (list []*peer.DelegatedShards) {
	for _, label := range labels {
		shards := p.Delegations.ShardsOf(label)
		if len(shards) == 0 {
			continue
		}
		delegated := &peer.DelegatedShards{Delegate: label}
		for _, shard := range shards {
			delegated.Shards = append(delegated.Shards, uint32(shard))
		}
		list = append(list, delegated)
	}
	return list
}

// delegatedShards returns for each shard whether a partition's summary names a delegate of
// the shard.
func delegatedShards(summary *peer.PartitionSummary) (delegated [delegation.ShardCount]bool) {
	for _, d := range summary.Delegated {
		for _, shard := range d.Shards {
			delegated[shard%delegation.ShardCount] = true
		}
	}
	return delegated
}
