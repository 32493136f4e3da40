package cluster

import (
	"micaspindle/internal/protocol/peer"
)

// DelegationSummary lists a part's carriers, as others are told of them.
func (p *Partition) DelegationSummary(labels []string) (list []*peer.DelegatedShards) {
	for _, label := range labels {
		if held := p.Delegations.ShardsOf(label); len(held) > 0 {
			k := &peer.DelegatedShards{Delegate: label}
			for _, s := range held {
				k.Shards = append(k.Shards, uint32(s))
			}
			list = append(list, k)
		}
	}
	return list
}
