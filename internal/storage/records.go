package storage

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
)

// Incarnation says which process a controller is now, and on which lease of the state store its
// partition leases hang. The key stays, so that its revisions order a controller's incarnations.
type Incarnation struct {
	Nonce string `msgpack:"n"`
	Lease uint64 `msgpack:"l"`
	// Released are partition leases that this incarnation gave up by itself, after it had
	// stopped acting under them; the last few.
	Released []ReleasedLease `msgpack:"r,omitempty"`
}

// ReleasedLease names a partition lease that was given up, by its revision.
type ReleasedLease struct {
	Partition     int    `msgpack:"p"`
	LeaseRevision uint64 `msgpack:"c"`
}

// Lease says who leads a partition or the cluster.
type Lease struct {
	Holder string `msgpack:"o"`
	// Nonce differs with each start of the process, so that a restarted controller does not
	// take the lease of its former incarnation for its own.
	Nonce string `msgpack:"n"`
}

// Machine is the assignment record of a machine.
type Machine struct {
	Partition int    `msgpack:"p"`
	Addr      string `msgpack:"a"`
	Type      string `msgpack:"t"`
	Zone      string `msgpack:"z"`
	Spot      bool   `msgpack:"s"`
	// CreatedMS is the wall clock of the rental in milliseconds, 0 for adopted machines.
	CreatedMS int64 `msgpack:"r"`
}

// Final makes a job done or cancelled.
type Final struct {
	Status string `msgpack:"s"`
	// AtMS is the wall clock of the end in milliseconds; 0: not known.
	AtMS int64 `msgpack:"at"`
	// Successor is the job that a reassigned one became.
	Successor string `msgpack:"sc,omitempty"`
}

// PolicyHead is written with every change of the policy; its revision orders them.
type PolicyHead struct {
	Version uint64 `msgpack:"v"`
}

// Encode encodes a record.
func Encode(record any) msgpack.RawMessage { return protocol.Encode(record) }

// Decode decodes a record.
func Decode(raw msgpack.RawMessage, record any) error {
	if err := protocol.Decode(raw, record); err != nil {
		return fmt.Errorf("storage: record: %w", err)
	}
	return nil
}
