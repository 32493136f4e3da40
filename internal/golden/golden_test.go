package golden

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"slices"
	"testing"
)

type outer struct {
	Name  string
	Inner *inner
	List  []inner
}

type inner struct {
	Count int
	Pair  [2]float64
}

func TestFillLeavesNothingZero(t *testing.T) {
	if zero := zeroFields(reflect.ValueOf(Fill(&outer{})), "outer"); len(zero) > 0 {
		t.Errorf("fields %v are zero after Fill, want none", zero)
	}
}

func TestZeroFieldsAreFound(t *testing.T) {
	full := func() *outer { return Fill(&outer{}) }
	for _, tc := range []struct {
		name, want string
		change     func(*outer)
	}{
		{"field", "outer.Name", func(o *outer) { o.Name = "" }},
		{"pointer", "outer.Inner", func(o *outer) { o.Inner = nil }},
		{"field of a pointer", "outer.Inner.Count", func(o *outer) { o.Inner.Count = 0 }},
		{"empty slice", "outer.List", func(o *outer) { o.List = []inner{} }},
		{"element", "outer.List[1].Pair[0]", func(o *outer) { o.List[1].Pair[0] = 0 }},
	} {
		value := full()
		tc.change(value)
		if got := zeroFields(reflect.ValueOf(value), "outer"); !slices.Equal(got, []string{tc.want}) {
			t.Errorf("zeroFields after a change of a %s: got %v, want only %s", tc.name, got, tc.want)
		}
	}
}

func TestParseDumpReadsWhatDumpWrites(t *testing.T) {
	for size := range 50 {
		data := bytes.Repeat([]byte{'|', 0xff}, size)[:size]
		if got, err := parseDump(hex.Dump(data)); err != nil || !bytes.Equal(got, data) {
			t.Errorf("dump of %d bytes is parsed as %x (error %v), want the same bytes", size, got, err)
		}
	}
}

func TestSortedKeysOrdersMaps(t *testing.T) {
	got, err := SortMapKeys([]byte{0x82, 0xa1, 'b', 1, 0xa1, 'a', 2})
	if want := []byte{0x82, 0xa1, 'a', 2, 0xa1, 'b', 1}; err != nil || !bytes.Equal(got, want) {
		t.Errorf("SortMapKeys returned %x (error %v), want %x", got, err, want)
	}
}
