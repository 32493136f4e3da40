package proxy

import (
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/settings"
)

// unsentMemoryShare is which part of the memory reports that wait for their owner may take.
const unsentMemoryShare = 32

// UnsentBytesLimit bounds the reports of a part that wait for their owner, in bytes.
func UnsentBytesLimit(limits settings.Limits) int {
	return max(renewalBytesLimit, int(limits.MemMB*peerapi.BytesPerMB)/unsentMemoryShare)
}
