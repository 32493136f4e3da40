package coordination

import (
	"micaspindle/internal/telemetry"
)

// PeersFull notes that a connection of another controller was closed on arrival, since
// there are too many.
func (c *Controller) PeersFull() { c.bounds.Met(telemetry.PeerConnections, 1) }

// UsersFull notes the same of a worker's or a user's connection.
func (c *Controller) UsersFull() { c.bounds.Met(telemetry.Connections, 1) }
