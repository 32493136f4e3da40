package proxy

import (
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/settings"
)

// socketsPerMachine is the number of connections that a controller needs for each machine that it
// serves: one for heartbeats and one for commands.
const socketsPerMachine = 2

// unsentMemoryDivisor determines the limit on the size of one partition's unsent heartbeats: the
// memory of the process divided by unsentMemoryDivisor.
const unsentMemoryDivisor = 32

// UnsentBytesLimit returns the limit, in bytes, on the heartbeats of one partition that were
// answered and not yet sent to its leader.
func UnsentBytesLimit(limits settings.ProcessLimits) int {
	return max(renewalBytesLimit, int(limits.MemMB*peerapi.BytesPerMB)/unsentMemoryDivisor)
}
