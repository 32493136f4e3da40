// Package delegation divides the machines of a partition into shards, which the partition's leader
// may delegate to other controllers. A delegate holds the agents' connections, answers their
// heartbeats under a time-limited grant, and forwards heartbeats and commands; all decisions remain
// with the leader. The package maps machines to shards (ShardOf), plans which controller serves
// which shard (PlanMoves), and computes the latest time at which a delegate may have answered a
// machine (Ledger). It sends no messages.
package delegation

import (
	"hash/fnv"
	"time"
)

// ShardCount is the number of shards of a partition: several for each controller, but few enough
// to be listed in messages.
const ShardCount = 16

// GrantDuration is the longest time for which a delegate may answer after it has requested a grant.
// The delegates of a former leader may continue to answer for that time after the leader has
// stopped.
const GrantDuration = 2 * time.Second

// ShardOf returns the index of a machine's shard. It must be the same on all controllers and in all
// versions.
func ShardOf(machine string) int {
	hash := fnv.New32a()
	hash.Write([]byte(machine))
	return int(hash.Sum32() % ShardCount)
}
