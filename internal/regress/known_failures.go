package regress

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// KnownFailure is a test that fails for a known fault that is not fixed yet.
type KnownFailure struct {
	// Package is the test's directory, Test its name, with those of subtests after slashes.
	Package, Test string
	// Cause says what the fault is, Issue which issue is to fix it.
	Cause string
	Issue string
	// Line is the line as it stands in the file.
	Line string
}

// MaxKnownFailures is how many tests may be known to fail at a time.
const MaxKnownFailures = 3

// knownFailureLine is a line of the list: package, test, cause and issue.
var knownFailureLine = regexp.MustCompile(`^(\S+) (Test\w*(?:/\S+)?): (\S.*\S) \(issue (\d+)\)$`)

// ParseKnownFailures reads the list of tests that may fail: a line each, "PACKAGE TEST: CAUSE
// (issue N)". An empty list skips nothing.
func ParseKnownFailures(text string) ([]KnownFailure, error) {
	var list []KnownFailure
	var invalid []error
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		match := knownFailureLine.FindStringSubmatch(line)
		if match == nil {
			invalid = append(invalid, fmt.Errorf("line %d: want \"PACKAGE TEST: CAUSE (issue N)\", as in \"internal/reapi TestCopies: a copy is lost (issue 12)\", have %q", i+1, line))
			continue
		}
		list = append(list, KnownFailure{Package: match[1], Test: match[2], Cause: match[3], Issue: match[4], Line: line})
	}
	if len(list)+len(invalid) > MaxKnownFailures {
		invalid = append(invalid, fmt.Errorf("%d lines: at most %d tests may be known to fail", len(list)+len(invalid), MaxKnownFailures))
	}
	return list, errors.Join(invalid...)
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
