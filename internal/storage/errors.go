package storage

import (
	"errors"
	"fmt"
)

// Outcomes of a request that did not succeed.
var (
	// ErrRefused means that the request was certainly not executed.
	ErrRefused = errors.New("state service refused")
	// ErrBudget is an ErrRefused by this controller's own budget: the state store was not
	// asked, and the same request may succeed soon.
	ErrBudget = fmt.Errorf("%w: budget used up", ErrRefused)
	// ErrUnknown means that the request may have been executed, or may be later.
	ErrUnknown = errors.New("state service did not answer")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that the state store no longer has the changes asked for: a watch must
	// start again from a listing.
	ErrCompacted = errors.New("changes no longer kept")
	// ErrLeaseGone means that a put named an expired lease.
	ErrLeaseGone = errors.New("no such lease")
	// ErrTooLarge means that a transaction is larger than the state store takes; the same one
	// must not be repeated.
	ErrTooLarge = errors.New("state service takes no transaction of this size")
)

// errOverLimit is a refusal by the state store for the number of requests or changes.
var errOverLimit = fmt.Errorf("%w: over its limit", ErrRefused)

// Conflict says which conditions of a transaction failed. The transaction was not applied.
type Conflict struct {
	// Failed are keys that have another revision; it need not name all.
	Failed []string
}

func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }
