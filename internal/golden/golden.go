// Package golden compares encoded values with golden files in tests. It guards the formats
// of stored records, messages and settings: each package that defines some has golden files
// in testdata/golden. "go test PACKAGE -update" rewrites them and is meant for intended
// format changes only.
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

// Codec encodes and decodes values.
type Codec struct {
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(data []byte, pointer any) error
}

// MessagePack is the codec of stored records and of the messages of the HTTP API.
var MessagePack = Codec{
	Marshal:   func(value any) ([]byte, error) { return protocol.Encode(value), nil },
	Unmarshal: protocol.Decode,
}

// Check checks that value, a pointer, encodes to the bytes in the hex dump
// testdata/golden/name.hex, and that these bytes decode to the same value.
func Check(t *testing.T, name string, value any, codec Codec) {
	t.Helper()
	RequireFilled(t, value)
	encoded, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	stored := CheckBytes(t, name, encoded)
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := codec.Unmarshal(stored, decoded); err != nil {
		t.Fatalf("decode %s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, value)
	}
}

// CheckBytes compares got with the hex dump testdata/golden/name.hex and returns the bytes of the
// dump.
func CheckBytes(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	stored, err := parseDump(CheckText(t, name+".hex", hex.Dump(got)))
	if err != nil {
		t.Fatalf("parse %s.hex: %v", name, err)
	}
	return stored
}

// CheckText compares got with the file testdata/golden/name and returns the content of the file.
func CheckText(t *testing.T, name, got string) string {
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
		t.Errorf("%s differs from the golden file: got\n%s\nwant\n%s", name, got, want)
	}
	return string(want)
}

// parseDump returns the bytes of a dump in the format of hex.Dump. Each of its lines has an
// offset of 8 digits, the bytes in hex up to column 60, and the bytes as text.
func parseDump(dump string) ([]byte, error) {
	const start, end = 8, 60 // columns of the bytes in hex
	var data []byte
	for line := range strings.Lines(dump) {
		if len(line) < end {
			return nil, fmt.Errorf("line %q of the hex dump is too short", line)
		}
		row, err := hex.DecodeString(strings.ReplaceAll(line[start:end], " ", ""))
		if err != nil {
			return nil, err
		}
		data = append(data, row...)
	}
	return data, nil
}

// SortMapKeys encodes a MessagePack value again with sorted map keys. It is meant for messages
// whose encoder does not sort them.
func SortMapKeys(encoded []byte) ([]byte, error) {
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
