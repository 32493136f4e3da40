package coordination

import (
	"micaspindle/internal/telemetry"
)

// PeersFull notes that a connection of another controller was closed on arrival, since there
// are too many.
func (c *Controller) PeersFull() { c.bounds.Met(telemetry.PeerConnections, 1) }

// UsersFull notes that a connection of an agent or a user was closed on arrival, since there
// are too many.
func (c *Controller) UsersFull() { c.bounds.Met(telemetry.Connections, 1) }
