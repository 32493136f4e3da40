// Package protocol holds the messages that cross the process's boundary: the
// MessagePack bodies of users, workers, cloud and state service with their
// foreign names, and the protobuf messages between controllers.
package protocol

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed marks a body that is not what the protocol allows.
var ErrMalformed = errors.New("malformed body")

const maxDepth = 24

// Scan checks that body is exactly one MessagePack map of the protocol's
// kinds, nested within bounds. Decoding after it can't recurse without end or
// allocate for sizes that are only claimed.
func Scan(body []byte) error {
	if len(body) == 0 || body[0]&0xf0 != 0x80 && body[0] != 0xde && body[0] != 0xdf {
		return fmt.Errorf("%w: not a map", ErrMalformed)
	}
	n, err := scanValue(body, 0, false)
	if err != nil {
		return err
	}
	if n != len(body) {
		return fmt.Errorf("%w: bytes after the map", ErrMalformed)
	}
	return nil
}

// scanValue returns the size of the value at the front of b.
func scanValue(b []byte, depth int, key bool) (int, error) {
	if depth > maxDepth {
		return 0, fmt.Errorf("%w: nested too deeply", ErrMalformed)
	}
	if len(b) == 0 {
		return 0, fmt.Errorf("%w: cut short", ErrMalformed)
	}
	c := b[0]
	text := c&0xe0 == 0xa0 || c >= 0xd9 && c <= 0xdb
	if key && !text {
		return 0, fmt.Errorf("%w: key is not text", ErrMalformed)
	}
	number := func(width int) (int, error) {
		if len(b) < 1+width {
			return 0, fmt.Errorf("%w: cut short", ErrMalformed)
		}
		var buf [8]byte
		copy(buf[8-width:], b[1:1+width])
		v := binary.BigEndian.Uint64(buf[:])
		if v > uint64(len(b)) {
			return 0, fmt.Errorf("%w: cut short", ErrMalformed)
		}
		return int(v), nil
	}
	fixed := func(n int) (int, error) {
		if len(b) < n {
			return 0, fmt.Errorf("%w: cut short", ErrMalformed)
		}
		return n, nil
	}
	items := func(used, n, per int) (int, error) {
		for i := range n * per {
			m, err := scanValue(b[used:], depth+1, per == 2 && i%2 == 0)
			if err != nil {
				return 0, err
			}
			used += m
		}
		return used, nil
	}
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return 1, nil
	case c&0xf0 == 0x80:
		return items(1, int(c&0x0f), 2)
	case c&0xf0 == 0x90:
		return items(1, int(c&0x0f), 1)
	case c&0xe0 == 0xa0:
		return fixed(1 + int(c&0x1f))
	case c >= 0xd9 && c <= 0xdb:
		width := 1 << (c - 0xd9)
		n, err := number(width)
		if err != nil {
			return 0, err
		}
		return fixed(1 + width + n)
	case c == 0xca:
		return fixed(5)
	case c == 0xcb:
		return fixed(9)
	case c >= 0xcc && c <= 0xcf:
		return fixed(1 + 1<<(c-0xcc))
	case c >= 0xd0 && c <= 0xd3:
		return fixed(1 + 1<<(c-0xd0))
	case c >= 0xdc && c <= 0xdf:
		width, per := 2, 1
		if c == 0xdd || c == 0xdf {
			width = 4
		}
		if c >= 0xde {
			per = 2
		}
		n, err := number(width)
		if err != nil {
			return 0, err
		}
		return items(1+width, n, per)
	}
	return 0, fmt.Errorf("%w: kind %#x is not allowed", ErrMalformed, c)
}

// Decode scans body and decodes it into v.
func Decode(body []byte, v any) error {
	if err := Scan(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Encode encodes v; the types of this package can always be encoded.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return buf.Bytes()
}

// JSONSize bounds the size of an encoded value in the form in which the
// protocol counts sizes, JSON, however it is spaced and escaped.
func JSONSize(raw []byte) int {
	var v any
	if err := msgpack.Unmarshal(raw, &v); err != nil {
		return len(raw)
	}
	text, err := json.Marshal(v)
	if err != nil {
		return len(raw)
	}
	size := len(text) + 32 // whole amounts may be written with ".0"
	for _, c := range text {
		switch {
		case c == ',' || c == ':':
			size++
		case c >= 0x80:
			size += 2 // as an escape
		}
	}
	return size
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
