package inspection

import (
	"testing"

	"micaspindle/internal/golden"
)

// Guards against changes of the encoding of messages and of the names of methods, which would
// break compatibility between versions.
func TestGoldenMessages(t *testing.T) { golden.CheckProtobuf(t, "micaspindle.gate") }
