package blobstore

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the store, wrapped with details.
var (
	ErrInvalid  = errors.New("not valid")
	ErrNotFound = errors.New("blob is not here")
	// ErrMismatch means that the bytes do not have the digest.
	ErrMismatch = errors.New("bytes do not have this digest")
	ErrTooLarge = errors.New("blob is larger than the store takes")
)

// FullError means that there is no room: every blob is in use or retained.
type FullError struct{ RetryAfter time.Duration }

func (e *FullError) Error() string {
	return fmt.Sprintf("the store is full of blobs that are in use or promised; come back in %s", e.RetryAfter.Round(time.Second))
}

// wrap adds the component to an error of the file system.
func wrap(err error) error { return fmt.Errorf("content: %w", err) }
