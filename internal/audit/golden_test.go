package audit

import (
	"encoding/json"
	"testing"

	"micaspindle/internal/golden"
)

// The stored and exported records must encode to the bytes in the golden files.
func TestGoldenRecords(t *testing.T) {
	asJSON := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}
	for _, tc := range []struct {
		name   string
		record any
		codec  golden.Codec
	}{
		{"batch", golden.Fill(&Batch{}), golden.MessagePack},
		{"head", golden.Fill(&head{}), golden.MessagePack},
		{"signer", golden.Fill(&signerRecord{}), golden.MessagePack},
		{"numbered", golden.Fill(&NumberedBatch{}), golden.MessagePack},
		{"seal", golden.Fill(&Seal{}), golden.MessagePack},
		{"line", golden.Fill(&Record{}), asJSON},
		{"sealed", golden.Fill(&SealBody{}), asJSON},
	} {
		t.Run(tc.name, func(t *testing.T) { golden.Check(t, tc.name, tc.record, tc.codec) })
	}
}

// The hashes that are signed must not change: signatures of existing batches and seals would
// become invalid.
func TestGoldenHashes(t *testing.T) {
	seal := golden.Fill(&Seal{})
	sum := sealSum(seal.Text, seal.Signer)
	golden.CheckBytes(t, "seal-hash", sum[:])
	golden.CheckText(t, "batch-hash.txt", golden.Fill(&Batch{}).Hash("spindle-0/nonce", 7)+"\n")
}

// The keys of the log and the outcomes in records must not change.
func TestGoldenKeys(t *testing.T) {
	for _, tc := range []struct{ name, got, want string }{
		{"all", Prefix, "a/"},
		{"batches", BatchPrefix("spindle-0"), "a/r/spindle-0/"},
		{"batch", BatchKey("spindle-0", 7), "a/r/spindle-0/0000000000000007"},
		{"head", headKey("spindle-0"), "a/h/spindle-0"},
		{"signer", signerKey("f1"), "a/k/f1"},
		{"allowed", Allowed, "allowed"},
		{"denied", Denied, "denied"},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, tc.got, tc.want)
		}
	}
}
