package protocol

import (
	"encoding/binary"
	"fmt"
)

// maxDepth is how deeply values may be nested.
const maxDepth = 24

// First bytes of MessagePack values. The "fix" kinds hold a length or a value in their low
// bits, the others are followed by it.
const (
	maxPositiveFixInt = 0x7f
	minNegativeFixInt = 0xe0
	fixMap            = 0x80
	fixArray          = 0x90
	fixText           = 0xa0
	kindNil           = 0xc0
	kindFalse         = 0xc2
	kindTrue          = 0xc3
	kindFloat32       = 0xca
	kindFloat64       = 0xcb
	kindUint8         = 0xcc
	kindUint64        = 0xcf
	kindInt8          = 0xd0
	kindInt64         = 0xd3
	kindText8         = 0xd9
	kindText32        = 0xdb
	kindArray16       = 0xdc
	kindArray32       = 0xdd
	kindMap16         = 0xde
	kindMap32         = 0xdf
)

func isFixMap(kind byte) bool   { return kind&0xf0 == fixMap }
func isFixArray(kind byte) bool { return kind&0xf0 == fixArray }
func isFixText(kind byte) bool  { return kind&0xe0 == fixText }
func isLongText(kind byte) bool { return kind >= kindText8 && kind <= kindText32 }

// isSingleByte says whether the first byte is all of a value.
func isSingleByte(kind byte) bool {
	return kind <= maxPositiveFixInt || kind >= minNegativeFixInt ||
		kind == kindNil || kind == kindFalse || kind == kindTrue
}

// Scan checks that body is exactly one MessagePack map of the protocol's
// kinds, nested within bounds. Decoding after it can't recurse without end or
// allocate for sizes that are only claimed.
func Scan(body []byte) error {
	if len(body) == 0 || !isFixMap(body[0]) && body[0] != kindMap16 && body[0] != kindMap32 {
		return fmt.Errorf("%w: not a map", ErrMalformed)
	}
	size, err := scanValue(body, 0, false)
	if err != nil {
		return err
	}
	if size != len(body) {
		return fmt.Errorf("%w: bytes after the map", ErrMalformed)
	}
	return nil
}

func cutShort() error { return fmt.Errorf("%w: cut short", ErrMalformed) }

// scanValue returns the size of the value at the front of b. depth is how many values it is
// nested in; isKey: it is a key of a map, which must be text.
func scanValue(b []byte, depth int, isKey bool) (int, error) {
	if depth > maxDepth {
		return 0, fmt.Errorf("%w: nested too deeply", ErrMalformed)
	}
	if len(b) == 0 {
		return 0, cutShort()
	}
	kind := b[0]
	if isKey && !isFixText(kind) && !isLongText(kind) {
		return 0, fmt.Errorf("%w: key is not text", ErrMalformed)
	}
	switch {
	case isSingleByte(kind):
		return 1, nil
	case isFixMap(kind):
		return scanMap(b, 1, int(kind&0x0f), depth)
	case isFixArray(kind):
		return scanArray(b, 1, int(kind&0x0f), depth)
	case isFixText(kind):
		return checkSize(b, 1+int(kind&0x1f))
	case isLongText(kind):
		return scanLongText(b)
	case kind == kindFloat32:
		return checkSize(b, 1+4)
	case kind == kindFloat64:
		return checkSize(b, 1+8)
	case kind >= kindUint8 && kind <= kindUint64:
		return checkSize(b, 1+1<<(kind-kindUint8))
	case kind >= kindInt8 && kind <= kindInt64:
		return checkSize(b, 1+1<<(kind-kindInt8))
	case kind >= kindArray16 && kind <= kindMap32:
		return scanLongCollection(b, depth)
	}
	return 0, fmt.Errorf("%w: kind %#x is not allowed", ErrMalformed, kind)
}

// checkSize returns size if b has as many bytes.
func checkSize(b []byte, size int) (int, error) {
	if len(b) < size {
		return 0, cutShort()
	}
	return size, nil
}

// scanLength reads the length of so many bytes that follows the first byte. A length beyond
// that of b can't be true.
func scanLength(b []byte, width int) (int, error) {
	if len(b) < 1+width {
		return 0, cutShort()
	}
	var buf [8]byte
	copy(buf[8-width:], b[1:1+width])
	length := binary.BigEndian.Uint64(buf[:])
	if length > uint64(len(b)) {
		return 0, cutShort()
	}
	return int(length), nil
}

// scanLongText scans a text whose length follows the first byte.
func scanLongText(b []byte) (int, error) {
	width := 1 << (b[0] - kindText8)
	length, err := scanLength(b, width)
	if err != nil {
		return 0, err
	}
	return checkSize(b, 1+width+length)
}

// scanLongCollection scans an array or a map whose length follows the first byte.
func scanLongCollection(b []byte, depth int) (int, error) {
	width := 2
	if b[0] == kindArray32 || b[0] == kindMap32 {
		width = 4
	}
	length, err := scanLength(b, width)
	if err != nil {
		return 0, err
	}
	if b[0] >= kindMap16 {
		return scanMap(b, 1+width, length, depth)
	}
	return scanArray(b, 1+width, length, depth)
}

// scanArray scans the values of an array and returns the size of b that is used then.
func scanArray(b []byte, used, length, depth int) (int, error) {
	for range length {
		size, err := scanValue(b[used:], depth+1, false)
		if err != nil {
			return 0, err
		}
		used += size
	}
	return used, nil
}

// scanMap scans the keys and values of a map and returns the size of b that is used then.
func scanMap(b []byte, used, length, depth int) (int, error) {
	for i := range 2 * length {
		size, err := scanValue(b[used:], depth+1, i%2 == 0)
		if err != nil {
			return 0, err
		}
		used += size
	}
	return used, nil
}
