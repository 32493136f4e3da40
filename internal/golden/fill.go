package golden

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Fill sets value, and all exported fields reachable from it, to nonzero values and returns
// it. Each field gets a different value, derived from a running number; bools become true.
// Slices get two elements, maps one.
func Fill[T any](value *T) *T {
	number := 0
	fill(reflect.ValueOf(value).Elem(), &number)
	return value
}

// fill sets v and all exported fields reachable from it. number is incremented for each.
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
		panic(fmt.Sprintf("golden: fill: unsupported type %s", v.Type()))
	}
}

// fillElements fills the elements of a slice or array.
func fillElements(v reflect.Value, number *int) {
	for i := range v.Len() {
		fill(v.Index(i), number)
	}
}

// RequireFilled reports a test error for each exported field reachable from value that is
// zero, so that new fields cannot be left out of the golden files.
func RequireFilled(t *testing.T, value any) {
	t.Helper()
	for _, path := range zeroFields(reflect.ValueOf(value), reflect.TypeOf(value).String()) {
		t.Errorf("%s is zero, so the golden file does not cover it", path)
	}
}

// zeroFields returns the paths of the exported fields reachable from v that are zero.
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
