package regress

import (
	"strings"
	"testing"
)

func TestParseKnownFailures(t *testing.T) {
	good := "internal/reapi TestCopies: a copy is lost (issue 12)"
	for name, c := range map[string]struct {
		text, wantErr string
		count         int
	}{
		"none":        {"", "", 0},
		"blank lines": {"\n\n", "", 0},
		"one":         {good + "\n", "", 1},
		"a subtest":   {"internal/reapi TestCopies/twice: a copy is lost (issue 12)", "", 1},
		"three":       {strings.Repeat(good+"\n", 3), "", 3},
		"four":        {strings.Repeat(good+"\n", 4), "at most 3", 0},
		"no test":     {"internal/reapi: a copy is lost (issue 12)", "line 1", 0},
		"no cause":    {"internal/reapi TestCopies: (issue 12)", "line 1", 0},
		"no issue":    {"internal/reapi TestCopies: a copy is lost", "line 1", 0},
		"no package":  {"TestCopies: a copy is lost (issue 12)", "line 1", 0},
		"a comment":   {strings.Repeat(good+"\n", 3) + "# why\n", "line 4", 0},
	} {
		list, err := ParseKnownFailures(c.text)
		switch {
		case c.wantErr == "" && (err != nil || len(list) != c.count):
			t.Errorf("parse %s: got %d known failures with error %v, want %d known failures and no error", name, len(list), err, c.count)
		case c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)):
			t.Errorf("parse %s: got error %v, want one that contains %q", name, err, c.wantErr)
		}
	}
	if got := SkipPattern([]string{"TestA", "TestB/x.y"}); got != `^TestA$|^TestB$/^x\.y$` {
		t.Errorf("skip pattern %s, want one that matches exactly TestA and TestB/x.y", got)
	}
}
