package main

import (
	"reflect"
	"testing"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/golden"
)

// The format of the settings file must not change, since operators have such files.
func TestGoldenSettings(t *testing.T) {
	want := golden.Fill(&settings{})
	text, err := yaml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	got, stored := &settings{}, golden.CheckText(t, "gate.yaml", string(text))
	if err := yaml.Unmarshal([]byte(stored), got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("settings of the golden file: %+v, error %v; want %+v", got, err, want)
	}
}
