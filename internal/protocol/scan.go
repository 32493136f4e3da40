package protocol

import (
	"encoding/binary"
	"fmt"
)

// maxDepth bounds the nesting of values.
const maxDepth = 24

// The formats of MessagePack values, as given by the first byte. The "fix" formats hold a length
// or a value in their low bits; in the others it follows the first byte.
const (
	maxPositiveFixInt = 0x7f
	minNegativeFixInt = 0xe0
	fixMap            = 0x80
	fixArray          = 0x90
	fixStr            = 0xa0
	formatNil         = 0xc0
	formatFalse       = 0xc2
	formatTrue        = 0xc3
	formatFloat32     = 0xca
	formatFloat64     = 0xcb
	formatUint8       = 0xcc
	formatUint64      = 0xcf
	formatInt8        = 0xd0
	formatInt64       = 0xd3
	formatStr8        = 0xd9
	formatStr32       = 0xdb
	formatArray16     = 0xdc
	formatArray32     = 0xdd
	formatMap16       = 0xde
	formatMap32       = 0xdf
)

func isFixMap(format byte) bool   { return format&0xf0 == fixMap }
func isFixArray(format byte) bool { return format&0xf0 == fixArray }
func isFixStr(format byte) bool   { return format&0xe0 == fixStr }
func isLongStr(format byte) bool  { return format >= formatStr8 && format <= formatStr32 }

// isSingleByte reports whether values of a format consist of the first byte alone.
func isSingleByte(format byte) bool {
	return format <= maxPositiveFixInt || format >= minNegativeFixInt ||
		format == formatNil || format == formatFalse || format == formatTrue
}

// Scan checks that body is exactly one MessagePack map, that all values in it have allowed formats
// and are complete, and that none is nested deeper than maxDepth. This keeps the decoder from
// unbounded recursion and from allocating memory for a length that body does not have.
func Scan(body []byte) error {
	if len(body) == 0 || !isFixMap(body[0]) && body[0] != formatMap16 && body[0] != formatMap32 {
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

func truncated() error { return fmt.Errorf("%w: cut short", ErrMalformed) }

// scanValue returns the size of the first value in b. depth is the number of arrays and maps that
// contain the value. A map key (isKey) must be a string.
func scanValue(b []byte, depth int, isKey bool) (int, error) {
	if depth > maxDepth {
		return 0, fmt.Errorf("%w: nested too deeply", ErrMalformed)
	}
	if len(b) == 0 {
		return 0, truncated()
	}
	format := b[0]
	if isKey && !isFixStr(format) && !isLongStr(format) {
		return 0, fmt.Errorf("%w: key is not text", ErrMalformed)
	}
	switch {
	case isSingleByte(format):
		return 1, nil
	case isFixMap(format):
		return scanMap(b, 1, int(format&0x0f), depth)
	case isFixArray(format):
		return scanArray(b, 1, int(format&0x0f), depth)
	case isFixStr(format):
		return checkSize(b, 1+int(format&0x1f))
	case isLongStr(format):
		return scanLongStr(b)
	case format == formatFloat32:
		return checkSize(b, 1+4)
	case format == formatFloat64:
		return checkSize(b, 1+8)
	case format >= formatUint8 && format <= formatUint64:
		return checkSize(b, 1+1<<(format-formatUint8))
	case format >= formatInt8 && format <= formatInt64:
		return checkSize(b, 1+1<<(format-formatInt8))
	case format >= formatArray16 && format <= formatMap32:
		return scanLongCollection(b, depth)
	}
	return 0, fmt.Errorf("%w: kind %#x is not allowed", ErrMalformed, format)
}

// checkSize returns size, or an error if b is shorter.
func checkSize(b []byte, size int) (int, error) {
	if len(b) < size {
		return 0, truncated()
	}
	return size, nil
}

// scanLength reads the length that follows the first byte and is width bytes wide. It refuses a
// length greater than that of b.
func scanLength(b []byte, width int) (int, error) {
	if len(b) < 1+width {
		return 0, truncated()
	}
	var buf [8]byte
	copy(buf[8-width:], b[1:1+width])
	length := binary.BigEndian.Uint64(buf[:])
	if length > uint64(len(b)) {
		return 0, truncated()
	}
	return int(length), nil
}

// scanLongStr scans a string whose length follows the first byte.
func scanLongStr(b []byte) (int, error) {
	width := 1 << (b[0] - formatStr8)
	length, err := scanLength(b, width)
	if err != nil {
		return 0, err
	}
	return checkSize(b, 1+width+length)
}

// scanLongCollection scans an array or a map whose length follows the first byte.
func scanLongCollection(b []byte, depth int) (int, error) {
	width := 2
	if b[0] == formatArray32 || b[0] == formatMap32 {
		width = 4
	}
	length, err := scanLength(b, width)
	if err != nil {
		return 0, err
	}
	if b[0] >= formatMap16 {
		return scanMap(b, 1+width, length, depth)
	}
	return scanArray(b, 1+width, length, depth)
}

// scanArray scans the elements of an array, the first of which is at b[offset], and returns the
// offset after the last one.
func scanArray(b []byte, offset, length, depth int) (int, error) {
	for range length {
		size, err := scanValue(b[offset:], depth+1, false)
		if err != nil {
			return 0, err
		}
		offset += size
	}
	return offset, nil
}

// scanMap scans the keys and values of a map, the first of which is at b[offset], and returns the
// offset after the last one.
func scanMap(b []byte, offset, length, depth int) (int, error) {
	for i := range 2 * length {
		size, err := scanValue(b[offset:], depth+1, i%2 == 0)
		if err != nil {
			return 0, err
		}
		offset += size
	}
	return offset, nil
}
