// Package audit writes the permanent record of what was done and denied, and
// shows whether it is still what was written. Each controller writes a chain of
// its own: batches of lines, each bound to the one before by SHA-256 and signed
// by the controller. The changes that a batch records are committed with it, in
// one transaction. The package does not know what a line's verbs mean.
package audit

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is one line: an action, a denial, or a count of equal ones.
type Record struct {
	At      time.Time `json:"at"`
	BoundMS float64   `json:"bound_ms,omitempty"` // how far off the clock may be
	Who     string    `json:"who,omitempty"`      // empty: nobody known
	How     string    `json:"how,omitempty"`      // certificate or token, with its id
	From    string    `json:"from,omitempty"`     // the address it came from
	Verb    string    `json:"verb"`
	Team    string    `json:"team,omitempty"`
	Class   string    `json:"class,omitempty"`
	Job     string    `json:"job,omitempty"`
	Outcome string    `json:"outcome"` // allowed, denied
	Reason  string    `json:"reason,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	// Of a count: how many there were, and the time of the last one.
	Count uint64     `json:"count,omitempty"`
	Until *time.Time `json:"until,omitempty"`
}

// The outcomes of a record.
const (
	Allowed = "allowed"
	Denied  = "denied"
)

// line is the record as it is stored: its bytes are what the hash is over.
func (r *Record) line() string {
	line, err := json.Marshal(r)
	if err != nil {
		// A record has nothing that can't be encoded.
		panic(fmt.Sprintf("audit: a record can't be written: %v", err))
	}
	return string(line)
}
