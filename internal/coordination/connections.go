package coordination

import (
	"micaspindle/internal/telemetry"
)

// RecordRefusedPeerConnection records that a connection from another controller was closed on
// arrival because there are too many connections.
func (c *Controller) RecordRefusedPeerConnection() {
	c.bounds.ReportExceeded(telemetry.PeerConnections, 1)
}

// RecordRefusedUserConnection records that a connection from an agent or a user was closed on
// arrival because there are too many connections.
func (c *Controller) RecordRefusedUserConnection() { c.bounds.ReportExceeded(telemetry.Connections, 1) }
