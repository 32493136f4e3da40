package main

import (
	"os"
	"testing"

	"micaspindle/review/rig"
)

// TestCase is the case as a Go test, so that KNOWN-RED.txt can name it. It runs only on request, with
// the programs that review/build.sh builds.
func TestCase(t *testing.T) {
	if os.Getenv("MICASPINDLE_REVIEW") != "1" {
		t.Skip("MICASPINDLE_REVIEW=1 runs it; see review/REPORT.md")
	}
	t.Chdir("../..")
	if code := run(true); code != rig.Held {
		t.Errorf("the case ended with %d, want %d; see its record.txt", code, rig.Held)
	}
}
