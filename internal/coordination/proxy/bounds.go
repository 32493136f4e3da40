package proxy

import (
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/settings"
)

// socketsPerMachine is how many connections a machine keeps with the controller that answers
// its heartbeats: one for heartbeats and one for commands.
const socketsPerMachine = 2

// unsentMemoryShare is the fraction of the memory, as a divisor, that heartbeats which are
// still to be sent to the partition's leader may take.
const unsentMemoryShare = 32

// UnsentBytesLimit bounds the answered heartbeats of a partition that are still to be sent to
// its leader, in bytes.
func UnsentBytesLimit(limits settings.ProcessLimits) int {
	return max(renewalBytesLimit, int(limits.MemMB*peerapi.BytesPerMB)/unsentMemoryShare)
}
