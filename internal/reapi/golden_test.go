package reapi

import (
	"encoding/json"
	"testing"

	"micaspindle/internal/golden"
)

// A job's manifest stays as it is: the id of the job comes from the digest of its bytes.
func TestGoldenManifest(t *testing.T) {
	golden.Check(t, "manifest", golden.Fill(&Manifest{}), golden.Codec{
		Marshal:   func(value any) ([]byte, error) { return value.(*Manifest).Encode(), nil },
		Unmarshal: json.Unmarshal,
	})
	if ImagePrefix != "actions/" {
		t.Errorf("images begin with %q, want %q", ImagePrefix, "actions/")
	}
}
