package reapi

import (
	"encoding/json"
	"testing"

	"micaspindle/internal/golden"
)

// The encoding of a manifest must not change, since the job id derives from its digest.
func TestGoldenManifest(t *testing.T) {
	golden.Check(t, "manifest", golden.Fill(&Manifest{}), golden.Codec{
		Marshal:   func(value any) ([]byte, error) { return value.(*Manifest).Encode(), nil },
		Unmarshal: json.Unmarshal,
	})
	if ImagePrefix != "actions/" {
		t.Errorf("image prefix is %q, want %q", ImagePrefix, "actions/")
	}
}
