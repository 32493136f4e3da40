// Package golden compares encoded values with golden files. Only tests use it: each package
// whose stored records, messages or settings must not change has files in its testdata/golden.
// "go test PACKAGE -update" writes them anew, which is right only where a format is changed on
// purpose.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Codec is how a kind of value is encoded and decoded.
type Codec struct {
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(data []byte, pointer any) error
}

// MessagePack is the codec of stored records and of the messages outside the cluster.
var MessagePack = Codec{
	Marshal:   func(value any) ([]byte, error) { return protocol.Encode(value), nil },
	Unmarshal: protocol.Decode,
}

// Check compares value, a pointer, with the hex dump testdata/golden/name.hex in both
// directions: it encodes to the bytes of the file, and the file decodes to it.
func Check(t *testing.T, name string, value any, codec Codec) {
	t.Helper()
	RequireFilled(t, value)
	encoded, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	stored := Bytes(t, name, encoded)
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := codec.Unmarshal(stored, decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s is decoded as %+v, want %+v", name, decoded, value)
	}
}

// Bytes compares got with the hex dump testdata/golden/name.hex and returns what the file
// holds.
func Bytes(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	stored, err := parseDump(Text(t, name+".hex", hex.Dump(got)))
	if err != nil {
		t.Fatalf("%s.hex: %v", name, err)
	}
	return stored
}

// Text compares got with the file testdata/golden/name and returns what the file holds.
func Text(t *testing.T, name, got string) string {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs: encoded now\n%s\nwant\n%s", name, got, want)
	}
	return string(want)
}

// parseDump reads the bytes of a hex.Dump: each line has the offset in 8 digits, the bytes
// up to column 60, and their text.
func parseDump(dump string) ([]byte, error) {
	const first, end = 8, 60 // columns of the bytes
	var data []byte
	for line := range strings.Lines(dump) {
		if len(line) < end {
			return nil, fmt.Errorf("line %q is too short", line)
		}
		row, err := hex.DecodeString(strings.ReplaceAll(line[first:end], " ", ""))
		if err != nil {
			return nil, err
		}
		data = append(data, row...)
	}
	return data, nil
}

// SortedKeys encodes a MessagePack value again with the keys of its maps in order, for
// messages whose encoder leaves the order open.
func SortedKeys(encoded []byte) ([]byte, error) {
	var value any
	if err := msgpack.Unmarshal(encoded, &value); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.SetSortMapKeys(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return out.Bytes(), err
}
