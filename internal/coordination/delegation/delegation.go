// Package delegation divides the machines of a partition into shards, which the partition's
// leader may delegate to other controllers: a delegate holds the agents' connections, answers
// their heartbeats under a grant of the leader and forwards heartbeats and commands, while
// the leader alone decides. The package knows which shard a machine is in, which controller
// should serve which shard (PlanMoves) and what may have been answered under grants (Ledger).
// It is pure: it knows no controller, and nothing of how messages travel.
package delegation

import (
	"hash/fnv"
	"time"
)

// ShardCount is how many shards a partition's machines are in: several for each controller,
// and few enough to be named one by one in messages.
const ShardCount = 16

// GrantDuration is how long a delegate may answer after it has asked, at the most. Whoever
// concludes that a former leader has stopped answering adds it, since its delegates may not
// have stopped.
const GrantDuration = 2 * time.Second

// ShardOf is the index of the shard that a machine is in. It is the same on all controllers
// and in all versions.
func ShardOf(machine string) int {
	hash := fnv.New32a()
	hash.Write([]byte(machine))
	return int(hash.Sum32() % ShardCount)
}
