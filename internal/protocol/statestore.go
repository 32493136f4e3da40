package protocol

import "github.com/vmihailenco/msgpack/v5"

// Item is a key of the state store with its value and version. Lease is the lease that the key is
// bound to, 0 if there is none.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"hold"`
}

// ItemList is one page of a listing. More is true unless the page is the last one.
type ItemList struct {
	Items    []Item `msgpack:"pairs"`
	More     bool   `msgpack:"more"`
	Revision uint64 `msgpack:"epoch"`
}

// Condition requires a key to have a version; version 0 requires that the key does not exist.
type Condition struct {
	Key     string `msgpack:"key"`
	Version uint64 `msgpack:"stamp"`
}

// Change puts or deletes a key.
type Change struct {
	Put    string             `msgpack:"put,omitempty"`
	Value  msgpack.RawMessage `msgpack:"v,omitempty"`
	Lease  uint64             `msgpack:"hold,omitempty"`
	Delete string             `msgpack:"drop,omitempty"`
}

// Transaction is the body of POST /commit: a compare-and-swap transaction, which applies all
// changes if all conditions hold and otherwise none.
type Transaction struct {
	If   []Condition `msgpack:"when"`
	Then []Change    `msgpack:"apply"`
}

// TransactionResult is the response to a Transaction. Failed lists the keys whose conditions do
// not hold.
type TransactionResult struct {
	Revision uint64   `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// LeaseRequest is the body of POST /grants, which creates a lease.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"ttl_ms"`
}

// Lease is the response to a LeaseRequest.
type Lease struct {
	ID uint64 `msgpack:"hold"`
}

// Event is a change of one key, as reported by a watch.
type Event struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Delete  string             `msgpack:"drop"`
	Version uint64             `msgpack:"stamp"`
}

// Events is the response to a watch request.
type Events struct {
	Revision uint64  `msgpack:"epoch"`
	Events   []Event `msgpack:"news"`
}
