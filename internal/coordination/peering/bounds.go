package peering

import (
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

// EncodeSummary makes a message of a summary. One that is too large goes without what it
// can do without: first what only informs users, then machines that are not on record,
// which report again.
func (ex *Exchange) EncodeSummary(sum *peer.Summary) []byte {
	most := peerapi.MaxBody(ex.Settings.Params.MachineLimits)
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
	sum.Unregistered, sum.Diverted = nil, nil
	body, _ = proto.Marshal(sum)
	return body
}
