package peer

import (
	"testing"

	"micaspindle/internal/golden"
)

// Guards the encoding of the messages between controllers, whatever their names in the sources.
func TestGoldenMessages(t *testing.T) { golden.CheckProtobuf(t, "micaspindle.peer") }
