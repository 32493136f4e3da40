package overview_test

import (
	"encoding/json"
	"testing"

	"micaspindle/internal/golden"
	"micaspindle/internal/overview"
)

// The operators' overview stays as it is, on the wire and as it is printed.
func TestGoldenOverview(t *testing.T) {
	asJSON := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}
	golden.Check(t, "overview", golden.Fill(&overview.View{}), golden.MessagePack)
	golden.Check(t, "overview-json", golden.Fill(&overview.View{}), asJSON)
}
