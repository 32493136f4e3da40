package inspection

import (
	"testing"

	"micaspindle/internal/golden"
)

// The messages to and between gates and the paths of their methods stay as they are on the wire.
func TestGoldenMessages(t *testing.T) { golden.CheckProtobuf(t, "micaspindle.gate") }
