package regress

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// KnownFailure is a test that fails because of a known fault that is not fixed yet.
type KnownFailure struct {
	// Package is the test's directory, and Test its name, with names of subtests after slashes.
	Package, Test string
	// Cause describes the fault, and Issue is the number of the issue about it.
	Cause string
	Issue string
	// Line is the unchanged line of the file.
	Line string
}

// MaxKnownFailures is the maximum length of the list.
const MaxKnownFailures = 3

// knownFailureLine matches a line of the list: package, test, cause and issue.
var knownFailureLine = regexp.MustCompile(`^(\S+) (Test\w*(?:/\S+)?): (\S.*\S) \(issue (\d+)\)$`)

// ParseKnownFailures parses the list of tests that are known to fail, with one line for each:
// "PACKAGE TEST: CAUSE (issue N)". Empty lines are ignored.
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

// SkipPattern returns a pattern for go test's -skip flag that matches exactly the given tests of
// one package. A subtest is matched without its siblings.
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
