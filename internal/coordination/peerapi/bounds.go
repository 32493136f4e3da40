package peerapi

import (
	"micaspindle/internal/settings"
)

// BytesPerMB is the size of the megabytes in which the settings state the memory.
const BytesPerMB = 1 << 20

// PortableBodyLimit is the size in bytes up to which every version of the controller takes a message.
// Messages that can be split are kept within it, so that a peer of an older version takes them
// too.
const PortableBodyLimit = 1 << 20

// bodyMax is the size in bytes that the summary of a controller with 4,000 machines needs.
const bodyMax = 2 << 20

// bodyMemoryShare is the fraction of the memory, as a divisor, that one message may take: the
// messages on all of the cluster's connections may be in memory at a time.
const bodyMemoryShare = 128

// MaxBody is the size in bytes up to which a message of another controller is taken.
func MaxBody(limits settings.ProcessLimits) int {
	return min(bodyMax, max(PortableBodyLimit, int(limits.MemMB*BytesPerMB)/bodyMemoryShare))
}
