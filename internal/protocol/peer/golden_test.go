package peer

import (
	"testing"

	"micaspindle/internal/golden"
)

// The messages between controllers stay as they are on the wire, whatever they are called.
func TestGoldenMessages(t *testing.T) { golden.CheckProtobuf(t, "micaspindle.peer") }
