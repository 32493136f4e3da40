package blobstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"strconv"

	"lukechampine.com/blake3"
)

// Function is a digest function. The zero value is SHA-256. The same bytes with two digest
// functions are two different blobs.
type Function uint8

// The supported functions. The digests of both have 32 bytes.
const (
	SHA256 Function = iota
	BLAKE3
)

// String returns the function's name in resource names and file names.
func (f Function) String() string {
	if f == BLAKE3 {
		return "blake3"
	}
	return "sha256"
}

// FunctionNamed returns the function that a resource name or file name contains. ok is false
// for unknown names and for SHA-256, which resource names and file names omit.
func FunctionNamed(name string) (f Function, ok bool) {
	if name == BLAKE3.String() {
		return BLAKE3, true
	}
	return SHA256, false
}

// New returns a new hash of the function.
func (f Function) New() hash.Hash {
	if f == BLAKE3 {
		return blake3.New(sha256.Size, nil)
	}
	return sha256.New()
}

// Of returns the digest of data.
func (f Function) Of(data []byte) Digest {
	var sum [sha256.Size]byte
	if f == BLAKE3 {
		sum = blake3.Sum256(data)
	} else {
		sum = sha256.Sum256(data)
	}
	return Digest{hex.EncodeToString(sum[:]), int64(len(data)), f}
}

// Digest identifies a blob by its hash, in lower-case hex, and its size in bytes.
type Digest struct {
	Hash     string
	Size     int64
	Function Function
}

// String returns the digest as in resource names: [FUNCTION/]HASH/SIZE, without the function
// for SHA-256.
func (d Digest) String() string {
	s := d.Hash + "/" + strconv.FormatInt(d.Size, 10)
	if d.Function != SHA256 {
		s = d.Function.String() + "/" + s
	}
	return s
}

// Check returns an error if the digest is not well-formed.
func (d Digest) Check() error {
	if len(d.Hash) != 2*sha256.Size || d.Size < 0 || d.Function > BLAKE3 {
		return fmt.Errorf("%w: %q is no %s with a size", ErrInvalid, clip(d.String()), d.Function)
	}
	for _, c := range d.Hash {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return fmt.Errorf("%w: %q is no %s in lower-case hex", ErrInvalid, clip(d.Hash), d.Function)
		}
	}
	return nil
}

// maxClipBytes is the maximum length of a caller's text in an error.
const maxClipBytes = 80

// clip truncates a caller's text for an error.
func clip(s string) string { return s[:min(len(s), maxClipBytes)] }

// Of returns the SHA-256 digest of data.
func Of(data []byte) Digest { return SHA256.Of(data) }

// empty has the digests of the empty blob by function. Every store contains the empty blob.
var empty = [...]Digest{SHA256.Of(nil), BLAKE3.Of(nil)}

// Empty is the SHA-256 digest of the empty blob.
var Empty = empty[SHA256]

// IsEmpty reports whether a digest is that of the empty blob.
func (d Digest) IsEmpty() bool { return d.Function <= BLAKE3 && d == empty[d.Function] }
