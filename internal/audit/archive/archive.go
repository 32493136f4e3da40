// Package archive writes the audit into files that can be verified by themselves, and
// says of such a file whether anything in it was altered, removed, reordered or
// cut off. The controllers do not use it.
package archive

import (
	"bytes"
	"encoding/json"
)

// exportFormat is the version of the format of exports.
const exportFormat = 1

// The lines of an export. Each is exactly what json.Marshal makes of it, so
// that any other byte shows.
type (
	// exportHead is the first line.
	exportHead struct {
		Format int `json:"micaspindle_audit"`
	}
	// exportSigner is the certificate of a signer, before its batches.
	exportSigner struct {
		Signer string `json:"signer"`
		Cert   string `json:"certificate"`
	}
	// exportBatch is a batch of a chain.
	exportBatch struct {
		Chain  string            `json:"chain"`
		Number uint64            `json:"number"`
		Prev   string            `json:"prev"`
		Signer string            `json:"signer"`
		Sig    string            `json:"sig"`
		Lines  []json.RawMessage `json:"lines"`
	}
	// exportSeal is the last line.
	exportSeal struct {
		Seal   json.RawMessage `json:"seal"`
		Signer string          `json:"signer"`
		Sig    string          `json:"sig"`
	}
)

// decodeExact decodes a line that must be just what the encoder makes of it, and reports
// whether it is.
func decodeExact(line []byte, out any) bool {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if decoder.Decode(out) != nil {
		return false
	}
	again, err := json.Marshal(out)
	return err == nil && bytes.Equal(again, line)
}
