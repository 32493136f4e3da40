package peerapi

import (
	"micaspindle/internal/settings"
)

// BytesPerMB is the number of bytes in a megabyte of the memory limit in the settings.
const BytesPerMB = 1 << 20

// PortableBodyLimit is the size in bytes of the largest message that all versions of the controller
// accept. Messages that can be split are kept within it, so that older versions accept them.
const PortableBodyLimit = 1 << 20

// maxSummaryBytes is the size in bytes of the summary of a controller with 4,000 machines.
const maxSummaryBytes = 2 << 20

// bodyMemoryDivisor determines the limit on the size of a message: the memory of the process
// divided by bodyMemoryDivisor, because messages on all connections between controllers may be in
// memory at the same time.
const bodyMemoryDivisor = 128

// MaxBody returns the size in bytes of the largest message that is accepted from another
// controller.
func MaxBody(limits settings.ProcessLimits) int {
	return min(maxSummaryBytes, max(PortableBodyLimit, int(limits.MemMB*BytesPerMB)/bodyMemoryDivisor))
}
