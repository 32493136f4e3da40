// Package archive exports the audit log to files and verifies such a file offline: it detects
// altered, removed and reordered data and truncation. The controllers do not use it.
package archive

import (
	"bytes"
	"encoding/json"
)

// exportFormat is the format version in the first line of an export. Verify accepts no other.
const exportFormat = 1

// The lines of an export. Each line must be exactly the output of json.Marshal, so that a
// change of any byte is detected.
type (
	// exportHead is the first line of an export.
	exportHead struct {
		Format int `json:"micaspindle_audit"`
	}
	// exportSigner is a line with the certificate of a signer. It precedes the batches.
	exportSigner struct {
		Signer string `json:"signer"`
		Cert   string `json:"certificate"`
	}
	// exportBatch is a line with a batch of a chain.
	exportBatch struct {
		Chain  string            `json:"chain"`
		Number uint64            `json:"number"`
		Prev   string            `json:"prev"`
		Signer string            `json:"signer"`
		Sig    string            `json:"sig"`
		Lines  []json.RawMessage `json:"lines"`
	}
	// exportSeal is the last line of an export, with the seal.
	exportSeal struct {
		Seal   json.RawMessage `json:"seal"`
		Signer string          `json:"signer"`
		Sig    string          `json:"sig"`
	}
)

// decodeExact decodes a line and reports whether encoding the result gives exactly the same
// bytes.
func decodeExact(line []byte, out any) bool {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if decoder.Decode(out) != nil {
		return false
	}
	encoded, err := json.Marshal(out)
	return err == nil && bytes.Equal(encoded, line)
}
