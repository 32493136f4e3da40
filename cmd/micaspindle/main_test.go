package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
)

// Settings that can't be used end the start with the code for the caller's
// mistakes, through kong as main calls it.
func TestBadSettingsAreTheCallersMistake(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(`{"label": 5}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"--config", path}, {"serve", "--config", path}, {"settings", "check", "--config", path}} {
		var c cli
		k, err := kong.Must(&c).Parse(args)
		if err != nil {
			t.Fatal(err)
		}
		if err := k.Run(); !errors.As(err, new(usageError)) {
			t.Errorf("%v: %v", args, err)
		}
	}
}
