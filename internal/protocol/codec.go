// Package protocol holds the MessagePack messages that controllers exchange with users
// (submission.go, job.go, api.go), agents (agent.go), the cloud (cloud.go) and the state store
// (statestore.go). Struct tags are the field names on the wire. Package peer has the messages
// between controllers.
package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed marks a body that violates the protocol.
var ErrMalformed = errors.New("malformed body")

// Decode validates body with Scan and decodes it into v. Its errors wrap ErrMalformed.
func Decode(body []byte, v any) error {
	if err := Scan(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Encode encodes v, which must be of a type that MessagePack can encode, as all types of this
// package are.
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

// JSONSize returns an upper bound of the size of an encoded value as JSON, for any spacing and
// escaping. The size limits of the protocol refer to JSON.
func JSONSize(raw []byte) int {
	var v any
	if err := msgpack.Unmarshal(raw, &v); err != nil {
		return len(raw)
	}
	text, err := json.Marshal(v)
	if err != nil {
		return len(raw)
	}
	size := len(text) + 32 // whole numbers may be written with a trailing ".0"
	for _, c := range text {
		switch {
		case c == ',' || c == ':':
			size++
		case c >= 0x80:
			size += 2 // non-ASCII text may be written as \u escapes
		}
	}
	return size
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
