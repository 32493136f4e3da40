package blobstore

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the store. They may be wrapped with details.
var (
	ErrInvalid  = errors.New("not valid")
	ErrNotFound = errors.New("blob is not here")
	// ErrMismatch means that the bytes do not match the digest.
	ErrMismatch = errors.New("bytes do not have this digest")
	ErrTooLarge = errors.New("blob is larger than the store takes")
)

// FullError means that there is no space for a blob, because no more blobs can be evicted now:
// the others are pinned, retained or within the quotas of other spaces.
type FullError struct{ RetryAfter time.Duration }

func (e *FullError) Error() string {
	return fmt.Sprintf("the store is full of blobs that are in use or promised; come back in %s", e.RetryAfter.Round(time.Second))
}

// wrap adds the name of the component to a file system error.
func wrap(err error) error { return fmt.Errorf("content: %w", err) }
