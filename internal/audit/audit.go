// Package audit writes a tamper-evident log of allowed and denied actions. Each controller
// writes its own hash chain of batches: a batch contains the SHA-256 hash of the previous
// batch and is signed by the controller. The changes that a batch records are committed in
// the same transaction as the batch. The callers define the verbs.
package audit

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is one line of the log: an action, a denial, or a count of equal records.
type Record struct {
	At           time.Time `json:"at"`
	ClockErrorMS float64   `json:"bound_ms,omitempty"` // maximum error of the clock
	Identity     string    `json:"who,omitempty"`      // empty if the caller is unknown
	Credential   string    `json:"how,omitempty"`      // the certificate or token with its ID
	Address      string    `json:"from,omitempty"`     // the address of the caller
	Verb         string    `json:"verb"`
	Team         string    `json:"team,omitempty"`
	Class        string    `json:"class,omitempty"`
	Job          string    `json:"job,omitempty"`
	Outcome      string    `json:"outcome"` // Allowed or Denied
	Reason       string    `json:"reason,omitempty"`
	Detail       string    `json:"detail,omitempty"`
	// Count is the number of records that were counted together, Until the time of the last.
	Count  uint64     `json:"count,omitempty"`
	LastAt *time.Time `json:"until,omitempty"`
}

// The outcomes of a record.
const (
	Allowed = "allowed"
	Denied  = "denied"
)

// line returns the stored form of the record, over which the hash is computed.
func (r *Record) line() string {
	line, err := json.Marshal(r)
	if err != nil {
		// All fields of a record can be encoded.
		panic(fmt.Sprintf("audit: cannot encode record: %v", err))
	}
	return string(line)
}
