package regress

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// KnownFailure is a test that fails for a fault that is known and not mended yet.
type KnownFailure struct {
	// Package is the test's folder, Test its name, with those of subtests after slashes.
	Package, Test string
	// Cause says what the fault is, Issue which issue mends it.
	Cause string
	Issue string
	// Line is the line as it stands in the file.
	Line string
}

// MaxKnownFailures is how many there may be at a time.
const MaxKnownFailures = 3

var knownRedLine = regexp.MustCompile(`^(\S+) (Test\w*(?:/\S+)?): (\S.*\S) \(issue (\d+)\)$`)

// ParseKnownFailures reads the list of tests that may fail: a line each, "PACKAGE TEST: CAUSE
// (issue N)". An empty list passes over nothing.
func ParseKnownFailures(text string) ([]KnownFailure, error) {
	var list []KnownFailure
	var bad []error
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		m := knownRedLine.FindStringSubmatch(line)
		if m == nil {
			bad = append(bad, fmt.Errorf("line %d: want \"PACKAGE TEST: CAUSE (issue N)\", as in \"internal/reapi TestCopies: a copy is lost (issue 12)\", have %q", i+1, line))
			continue
		}
		list = append(list, KnownFailure{Package: m[1], Test: m[2], Cause: m[3], Issue: m[4], Line: line})
	}
	if len(list)+len(bad) > MaxKnownFailures {
		bad = append(bad, fmt.Errorf("%d lines: at most %d tests may be known to fail", len(list)+len(bad), MaxKnownFailures))
	}
	return list, errors.Join(bad...)
}

// SkipPattern matches just these tests of one package, as go test's -skip takes it: of a
// test with subtests the named one only.
func SkipPattern(tests []string) string {
	var all []string
	for _, test := range tests {
		var parts []string
		for _, p := range strings.Split(test, "/") {
			parts = append(parts, "^"+regexp.QuoteMeta(p)+"$")
		}
		all = append(all, strings.Join(parts, "/"))
	}
	return strings.Join(all, "|")
}
