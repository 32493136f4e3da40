package inspection

import (
	"testing"

	"micaspindle/internal/golden"
)

// The encoding of the messages and the names of the methods must not change.
func TestGoldenMessages(t *testing.T) { golden.CheckProtobuf(t, "micaspindle.gate") }
