package blobstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"strconv"

	"lukechampine.com/blake3"
)

// Function is what a blob's digest is computed with. The zero value is SHA-256. A
// blob under two functions is two blobs.
type Function uint8

// The functions that are served. Both have 32 bytes.
const (
	SHA256 Function = iota
	BLAKE3
)

// String is the function's name as it stands in names of blobs.
func (f Function) String() string {
	if f == BLAKE3 {
		return "blake3"
	}
	return "sha256"
}

// Named is the function of a name that stands before, or behind, a hash. SHA-256 has
// none there.
func Named(name string) (f Function, ok bool) {
	if name == BLAKE3.String() {
		return BLAKE3, true
	}
	return SHA256, false
}

// New begins a digest.
func (f Function) New() hash.Hash {
	if f == BLAKE3 {
		return blake3.New(sha256.Size, nil)
	}
	return sha256.New()
}

// Of is the digest of data.
func (f Function) Of(data []byte) Digest {
	var sum [sha256.Size]byte
	if f == BLAKE3 {
		sum = blake3.Sum256(data)
	} else {
		sum = sha256.Sum256(data)
	}
	return Digest{hex.EncodeToString(sum[:]), int64(len(data)), f}
}

// Digest is a blob's hash in hex and its size.
type Digest struct {
	Hash     string
	Size     int64
	Function Function
}

// String is the digest as it stands in names of blobs: hash/size, with the function
// before it unless that is SHA-256.
func (d Digest) String() string {
	s := d.Hash + "/" + strconv.FormatInt(d.Size, 10)
	if d.Function != SHA256 {
		s = d.Function.String() + "/" + s
	}
	return s
}

// Check says what is wrong with a digest.
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

func clip(s string) string { return s[:min(len(s), 80)] }

// Of is the SHA-256 digest of data.
func Of(data []byte) Digest { return SHA256.Of(data) }

// empty are the digests of nothing, which is always there.
var empty = [...]Digest{SHA256.Of(nil), BLAKE3.Of(nil)}

// Empty is the SHA-256 digest of nothing.
var Empty = empty[SHA256]

// IsEmpty says whether a digest is that of nothing.
func (d Digest) IsEmpty() bool { return d.Function <= BLAKE3 && d == empty[d.Function] }
