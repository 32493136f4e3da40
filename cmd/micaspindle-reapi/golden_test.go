package main

import (
	"reflect"
	"testing"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/golden"
)

// The gate's settings stay as operators write them.
func TestGoldenSettings(t *testing.T) {
	want := golden.Fill(&settings{})
	text, err := yaml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	got, stored := &settings{}, golden.Text(t, "gate.yaml", string(text))
	if err := yaml.Unmarshal([]byte(stored), got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v (%v), want %+v", got, err, want)
	}
}
