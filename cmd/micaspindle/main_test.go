package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
)

// Every command that reads settings reports invalid ones as a usage error. The commands run
// through kong, as in main.
func TestInvalidSettingsAreAUsageError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
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
			t.Errorf("run with arguments %v: got error %v, want a usageError", args, err)
		}
	}
}
