package peer

import (
	"testing"

	"micaspindle/internal/golden"
)

// Guards the encoding of the messages between controllers. Their names in the sources may change.
func TestGoldenMessages(t *testing.T) { golden.CheckProtobuf(t, "micaspindle.peer") }
