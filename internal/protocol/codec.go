// Package protocol holds the messages that cross the process's boundary: the MessagePack
// bodies of users (submission.go, job.go, api.go), agents, the cloud and the state store, with
// the names that these use on the wire. Package peer has the messages between controllers.
package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed marks a body that the protocol does not allow.
var ErrMalformed = errors.New("malformed body")

// Decode scans body and decodes it into v. Its errors wrap ErrMalformed.
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
