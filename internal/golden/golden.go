// Package golden compares encoded values with golden files. Only tests use it: each package
// whose stored records, messages or settings must stay as they are keeps files in its
// testdata/golden. "go test PACKAGE -update" writes them anew, which is right only where a
// format is changed on purpose.
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
	"time"

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
	const first, end = 8, 60
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

// Fill sets every field that value, a pointer, reaches to a value of its own other than
// zero, numbered in the order of the fields. Slices get two elements, maps one, bools are
// true.
func Fill[T any](value *T) *T {
	number := 0
	fill(reflect.ValueOf(value).Elem(), &number)
	return value
}

func fill(v reflect.Value, number *int) {
	*number++
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(int64(*number), 0).UTC()))
		return
	case msgpack.RawMessage:
		text := fmt.Sprintf("raw-%d", *number)
		v.SetBytes(append([]byte{0xa0 | byte(len(text))}, text...)) // a MessagePack fixstr
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *number))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*number))
	case reflect.Uint64:
		v.SetUint(uint64(*number))
	case reflect.Float64:
		v.SetFloat(float64(*number) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), number)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillElements(v, number)
	case reflect.Array:
		fillElements(v, number)
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, number)
		fill(element, number)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), number)
			}
		}
	default:
		panic(fmt.Sprintf("golden: can't fill a %s", v.Type()))
	}
}

func fillElements(v reflect.Value, number *int) {
	for i := range v.Len() {
		fill(v.Index(i), number)
	}
}

// RequireFilled fails the test where an exported field that value reaches is zero, so that a
// new field can't stay out of the golden files.
func RequireFilled(t *testing.T, value any) {
	t.Helper()
	for _, path := range zeroFields(reflect.ValueOf(value), reflect.TypeOf(value).String()) {
		t.Errorf("%s is zero: the golden file would not guard it", path)
	}
}

func zeroFields(v reflect.Value, path string) (zero []string) {
	if v.IsZero() {
		return []string{path}
	}
	if _, isTime := v.Interface().(time.Time); isTime {
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		return zeroFields(v.Elem(), path)
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return []string{path}
		}
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return nil
		}
		for i := range v.Len() {
			zero = append(zero, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				zero = append(zero, zeroFields(v.Field(i), path+"."+field.Name)...)
			}
		}
	}
	return zero
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
