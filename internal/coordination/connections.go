package coordination

import (
	"micaspindle/internal/telemetry"
)

// NotePeerConnectionRefused records that a connection from another controller was closed on
// arrival because there are too many connections.
func (c *Controller) NotePeerConnectionRefused() { c.bounds.Met(telemetry.PeerConnections, 1) }

// NoteUserConnectionRefused records that a connection from an agent or a user was closed on
// arrival because there are too many connections.
func (c *Controller) NoteUserConnectionRefused() { c.bounds.Met(telemetry.Connections, 1) }
