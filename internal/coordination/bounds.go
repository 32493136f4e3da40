package coordination

import (
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/observe"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// What bounds the messages between controllers, and what happens when a bound is met. The
// sizes are for 4,000 machines with 16 running tasks each (docs/limits.md).

const (
	// peerBodyLeast is what every version of the controller takes as a message. Messages
	// that can be cut keep to it, so that a peer of an older version takes them too.
	peerBodyLeast = 1 << 20
	// peerBodyMost is what the summary of a controller that holds 4,000 machines needs.
	peerBodyMost = 2 << 20
	// peerBodyShare is which part of the memory one message may take: all that the
	// cluster's sockets hold at a time is in memory.
	peerBodyShare = 128

	// keptShare is which part of the memory reports that wait for their owner may take.
	keptShare = 32

	bytesPerMB = 1 << 20
)

// MaxPeerBody bounds a message of another controller.
func MaxPeerBody(limits settings.Limits) int {
	return min(peerBodyMost, max(peerBodyLeast, int(limits.MemMB*bytesPerMB)/peerBodyShare))
}

// carriedMost bounds the reports of a part that wait for their owner, in bytes.
func carriedMost(limits settings.Limits) int {
	return max(carryMessage, int(limits.MemMB*bytesPerMB)/keptShare)
}

// boundMet counts that a bound was met n times and says so in the log the first time. Any
// goroutine may call it.
func (c *Controller) boundMet(b observe.Bound, n int) {
	if n <= 0 {
		return
	}
	c.metrics.Met(b, n)
	if !c.boundsLogged[b].Swap(true) {
		c.log.Warn("a bound was met; from now on it is only counted", "bound", b)
	}
}

// PeersFull notes that a connection of another controller was closed on arrival, since
// there are too many.
func (c *Controller) PeersFull() { c.boundMet(observe.PeerConnections, 1) }

// UsersFull notes the same of a worker's or a user's connection.
func (c *Controller) UsersFull() { c.boundMet(observe.Connections, 1) }

// encodeSummary makes a message of a summary. One that is too large goes without what it
// can do without: first what only informs users, then machines that are not on record,
// which report again.
func (c *Controller) encodeSummary(sum *peer.Summary) []byte {
	most := MaxPeerBody(c.set.Params.MachineLimits)
	// A summary always marshals: its texts were checked when they came in.
	body, _ := proto.Marshal(sum)
	if len(body) <= most {
		return body
	}
	c.boundMet(observe.SummaryBytes, 1)
	sum.Jobs = nil
	if body, _ = proto.Marshal(sum); len(body) <= most {
		return body
	}
	sum.Unknown, sum.Strayed = nil, nil
	body, _ = proto.Marshal(sum)
	return body
}
