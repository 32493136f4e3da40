package coordination

import (
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/telemetry"
)

// What bounds the messages between controllers, and what happens when a bound is met. The
// sizes are for 4,000 machines with 16 running tasks each (docs/limits.md).

const (
	// PeerBodyMin is what every version of the controller takes as a message. Messages
	// that can be cut keep to it, so that a peer of an older version takes them too.
	PeerBodyMin = 1 << 20
	// peerBodyMax is what the summary of a controller that holds 4,000 machines needs.
	peerBodyMax = 2 << 20
	// peerBodyMemoryShare is which part of the memory one message may take: all that the
	// cluster's sockets hold at a time is in memory.
	peerBodyMemoryShare = 128

	// unsentMemoryShare is which part of the memory reports that wait for their owner may take.
	unsentMemoryShare = 32

	bytesPerMB = 1 << 20
)

// MaxPeerBody bounds a message of another controller.
func MaxPeerBody(limits settings.Limits) int {
	return min(peerBodyMax, max(PeerBodyMin, int(limits.MemMB*bytesPerMB)/peerBodyMemoryShare))
}

// unsentBytesLimit bounds the reports of a part that wait for their owner, in bytes.
func unsentBytesLimit(limits settings.Limits) int {
	return max(renewalBytesLimit, int(limits.MemMB*bytesPerMB)/unsentMemoryShare)
}

// PeersFull notes that a connection of another controller was closed on arrival, since
// there are too many.
func (c *Controller) PeersFull() { c.bounds.Met(telemetry.PeerConnections, 1) }

// encodeSummary makes a message of a summary. One that is too large goes without what it
// can do without: first what only informs users, then machines that are not on record,
// which report again.
func (ex *Exchange) encodeSummary(sum *peer.Summary) []byte {
	most := MaxPeerBody(ex.Settings.Params.MachineLimits)
	// A summary always marshals: its texts were checked when they came in.
	body, _ := proto.Marshal(sum)
	if len(body) <= most {
		return body
	}
	ex.bounds.Met(telemetry.SummaryBytes, 1)
	sum.Jobs = nil
	if body, _ = proto.Marshal(sum); len(body) <= most {
		return body
	}
	sum.Unknown, sum.Strayed = nil, nil
	body, _ = proto.Marshal(sum)
	return body
}
