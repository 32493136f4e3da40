package storage

import (
	"errors"
	"fmt"
)

// Errors of requests to the state store.
var (
	// ErrRefused means that the request was not executed and won't be.
	ErrRefused = errors.New("state service refused")
	// ErrBudget is an ErrRefused from this controller's own rate limits: the request was not
	// sent, and a retry may soon succeed.
	ErrBudget = fmt.Errorf("%w: budget used up", ErrRefused)
	// ErrUnknown means that the outcome is unknown: the request may have been executed, or may
	// still be.
	ErrUnknown = errors.New("state service did not answer")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("key or lease not found")
	// ErrCompacted means that the state store has discarded the requested changes. The caller
	// must list the keys again and watch from the new revision.
	ErrCompacted = errors.New("requested changes have been discarded by compaction")
	// ErrLeaseGone means that a change refers to a lease that has expired.
	ErrLeaseGone = errors.New("no such lease")
	// ErrTooLarge means that a transaction exceeds the state store's size limits. It must not be
	// retried unchanged.
	ErrTooLarge = errors.New("state service takes no transaction of this size")
)

// errRateLimited is a refusal by the state store's rate limit for requests or changes.
var errRateLimited = fmt.Errorf("%w: over its limit", ErrRefused)

// Conflict is the error of a transaction whose conditions failed. The transaction was not applied.
type Conflict struct {
	// Failed has keys whose revision differs from the condition's. It may be incomplete.
	Failed []string
}

func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }
