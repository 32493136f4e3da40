package storage

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
)

// Incarnation identifies the present process of a controller. Its key is never deleted, so that the
// revisions of the key order the incarnations of a controller.
type Incarnation struct {
	Nonce string `msgpack:"n"`
	// Lease is the lease of the state store to which the controller's partition leases are
	// attached.
	Lease uint64 `msgpack:"l"`
	// Released has the most recent partition leases that this incarnation gave up voluntarily,
	// after it had stopped acting under them.
	Released []ReleasedLease `msgpack:"r,omitempty"`
	// FollowsSuccessors is set by versions in which jobs that depend on a reassigned job wait for
	// its successor. Older versions cancel them.
	FollowsSuccessors bool `msgpack:"fs,omitempty"`
}

// ReleasedLease identifies a released partition lease by its revision.
type ReleasedLease struct {
	Partition     int    `msgpack:"p"`
	LeaseRevision uint64 `msgpack:"c"`
}

// Lease records the leader of a partition or of the cluster.
type Lease struct {
	Holder string `msgpack:"o"`
	// Nonce is unique to each process, so that a restarted controller does not mistake the lease
	// of its former incarnation for its own.
	Nonce string `msgpack:"n"`
}

// Token raises the fencing tokens of a partition's machines to the revision of its key. The key is
// never deleted.
type Token struct {
	// LeaseRevision is the revision of the partition lease under which the record was written.
	// The record counts only under that lease.
	LeaseRevision uint64 `msgpack:"c"`
}

// Machine records a machine and the partition that it is assigned to.
type Machine struct {
	Partition int    `msgpack:"p"`
	Addr      string `msgpack:"a"`
	Type      string `msgpack:"t"`
	Zone      string `msgpack:"z"`
	Spot      bool   `msgpack:"s"`
	// CreatedMS is the time at which the machine was requested from the cloud, in Unix
	// milliseconds. It is 0 if the machine was found without a record.
	CreatedMS int64 `msgpack:"r"`
}

// FinalRecord records that a job is done or cancelled.
type FinalRecord struct {
	Status string `msgpack:"s"`
	// AtMS is the time at which the job ended, in Unix milliseconds; 0 means unknown.
	AtMS int64 `msgpack:"at"`
	// Successor is the job that replaces a reassigned job.
	Successor string `msgpack:"sc,omitempty"`
}

// PolicyHead is written with every change of the policy, so that its revisions order the changes.
type PolicyHead struct {
	Version uint64 `msgpack:"v"`
}

// Encode returns the MessagePack encoding of a record.
func Encode(record any) msgpack.RawMessage { return protocol.Encode(record) }

// Decode decodes the MessagePack encoding of a record into record, a pointer.
func Decode(raw msgpack.RawMessage, record any) error {
	if err := protocol.Decode(raw, record); err != nil {
		return fmt.Errorf("storage: decoding record: %w", err)
	}
	return nil
}
