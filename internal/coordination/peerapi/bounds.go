package peerapi

import (
	"micaspindle/internal/settings"
)

// PortableBodyLimit is what every version of the controller takes as a message. Messages
// that can be cut keep to it, so that a peer of an older version takes them too.
const PortableBodyLimit = 1 << 20

// bodyMax is what the summary of a controller that holds 4,000 machines needs.
const bodyMax = 2 << 20

// bodyMemoryShare is which part of the memory one message may take: all that the
// cluster's sockets hold at a time is in memory.
const bodyMemoryShare = 128

const BytesPerMB = 1 << 20

// MaxBody bounds a message of another controller.
func MaxBody(limits settings.Limits) int {
	return min(bodyMax, max(PortableBodyLimit, int(limits.MemMB*BytesPerMB)/bodyMemoryShare))
}
