package overview_test

import (
	"encoding/json"
	"testing"

	"micaspindle/internal/golden"
	"micaspindle/internal/overview"
)

// The encoding of View as MessagePack and JSON must not change.
func TestGoldenOverview(t *testing.T) {
	asJSON := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}
	golden.Check(t, "overview", golden.Fill(&overview.View{}), golden.MessagePack)
	golden.Check(t, "overview-json", golden.Fill(&overview.View{}), asJSON)
}
