package coordination

import (
	"micaspindle/internal/telemetry"
)

// NotePeerConnectionRefused notes that a connection of another controller was closed on arrival, since there
// are too many.
func (c *Controller) NotePeerConnectionRefused() { c.bounds.Met(telemetry.PeerConnections, 1) }

// NoteUserConnectionRefused notes that a connection of an agent or a user was closed on arrival, since there
// are too many.
func (c *Controller) NoteUserConnectionRefused() { c.bounds.Met(telemetry.Connections, 1) }
