package regress

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// entry returns a journal entry in the benchmark's format.
func entry(id, at, verb, mode, site string, score float64, days string) string {
	return fmt.Sprintf(`{"v":1,"id":%q,"at":["2026-01-01T%sZ",""],"cmd":%q,"mode":%q,"why":"","site":%q,"site_sha":"s1",
"ok":true,"error":null,"score":%g,"days_left_out":0,"unknown":{"a":[1]},"days":[%s]}`, id, at, verb, mode, site, score, days)
}

func day(name string, score float64, more string) string {
	return fmt.Sprintf(`{"name":%q,"day":"k-%s","score":%g,"restarts":0,"rules":{},"fault":null%s}`, name, name, score, more)
}

func parse(t *testing.T, texts ...string) []Entry {
	t.Helper()
	var all []Entry
	for _, text := range texts {
		e, err := ParseEntry([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, e)
	}
	return all
}

// history returns six earlier runs. The median of the latest five is 0.70 for the site and 0.60 for
// its day.
func history(t *testing.T) []Entry {
	var texts []string
	for i, s := range []float64{0.20, 0.72, 0.70, 0.68, 0.69, 0.71} { // the first is not among the latest five
		texts = append(texts, entry(fmt.Sprint(i), fmt.Sprintf("0%d:00:00", i), "score", "quick", "a", s, day("rough", s-0.1, "")))
	}
	return parse(t, texts...)
}

func TestCompare(t *testing.T) {
	steady := day("rough", 0.60, "")
	for name, c := range map[string]struct {
		now  string
		want []string // for each row the reason why it failed, "note" or "ok"
	}{
		"same scores":            {entry("n", "09:00:00", "score", "quick", "a", 0.70, steady), []string{"ok", "ok"}},
		"largest allowed drop":   {entry("n", "09:00:00", "score", "quick", "a", 0.67, steady), []string{"ok", "ok"}},
		"site score drops":       {entry("n", "09:00:00", "score", "quick", "a", 0.669, steady), []string{"fell by 0.031", "ok"}},
		"day drops within noise": {entry("n", "09:00:00", "score", "quick", "a", 0.70, day("rough", 0.569, "")), []string{"ok", "note"}},
		"day score drops":        {entry("n", "09:00:00", "score", "quick", "a", 0.70, day("rough", 0.56, "")), []string{"ok", "fell by 0.040"}},
		"rule violated":          {entry("n", "09:00:00", "score", "quick", "a", 0.70, day("rough", 0, `,"rules":{"ran_twice":2,"quota":0}`)), []string{"ok", "rule broken: ran_twice (2 times)"}},
		"process exited":         {entry("n", "09:00:00", "score", "quick", "a", 0.70, day("rough", 0.60, `,"restarts":3`)), []string{"ok", "3 processes ended by themselves"}},
		"day failed":             {entry("n", "09:00:00", "score", "quick", "a", 0.70, `{"name":"rough","day":"k-rough","score":null,"rules":{},"fault":"out of time"}`), []string{"ok", "day failed: out of time"}},
		"day without a score":    {entry("n", "09:00:00", "score", "quick", "a", 0.70, `{"name":"rough","day":"k-rough","score":null,"rules":{},"fault":null}`), []string{"ok", "day failed: the day has no score"}},
		"build failed":           {`{"id":"n","at":["2026-01-01T09:00:00Z",""],"cmd":"score","site":null,"ok":false,"error":"the build failed","score":null,"days":[]}`, []string{"the build failed"}},
		"run did not finish":     {`{"id":"n","at":["2026-01-01T09:00:00Z",""],"cmd":"score","site":"a","ok":false,"error":null,"score":null,"days":[]}`, []string{"the run failed"}},
		"sources edited during the run": {`{"id":"n","at":["2026-01-01T09:00:00Z",""],"cmd":"score","site":"a","ok":true,"edited_meanwhile":true,"score":0.7,"days":[]}`,
			[]string{"the sources changed during the run, so the figures may not be theirs"}},
		"days left out": {`{"id":"n","at":["2026-01-01T09:00:00Z",""],"cmd":"score","site":"a","ok":true,"days_left_out":2,"score":0.7,"days":[]}`,
			[]string{"2 days were left out"}},
		"other site":                       {entry("n", "09:00:00", "score", "quick", "b", 0.10, day("rough", 0.1, "")), []string{"note", "note"}},
		"full score":                       {entry("n", "09:00:00", "score", "", "a", 0.10, day("rough", 0.6, "")), []string{"note", "ok"}}, // only quick scores were recorded earlier
		"fault search finds a violation":   {entry("n", "09:00:00", "hunt", "", "a", 0, day("hunt-1", 0, `,"rules":{"quota":1}`)), []string{"rule broken: quota (1 times)"}},
		"fault search without a violation": {entry("n", "09:00:00", "hunt", "", "a", 0, day("hunt-1", 0.3, "")), []string{"note"}},
	} {
		t.Run(name, func(t *testing.T) {
			rows := Compare(history(t), parse(t, c.now))
			var got []string
			for _, r := range rows {
				switch {
				case r.Failed != "":
					got = append(got, r.Failed)
				case r.Note != "":
					got = append(got, "note")
				default:
					got = append(got, "ok")
				}
			}
			if strings.Join(got, "|") != strings.Join(c.want, "|") {
				t.Errorf("results %q, want %q; rows %+v", got, c.want, rows)
			}
			failures := 0
			for _, w := range c.want {
				if w != "ok" && w != "note" {
					failures++
				}
			}
			if n := Failures(rows); n != failures {
				t.Errorf("Failures returned %d failed rows, want %d", n, failures)
			}
		})
	}
}

// Scores of single runs, failed days and other standard days are not compared.
func TestOnlyComparableScoresAreCompared(t *testing.T) {
	earlier := parse(t,
		entry("1", "01:00:00", "score", "quick", "a", 0.5, day("rough", 0.5, "")),
		entry("2", "02:00:00", "run", "", "a", 0.9, day("rough", 0.9, "")),
		entry("3", "03:00:00", "score", "quick", "a", 0.9, day("rough", 0, `,"rules":{"quota":1}`)),
		entry("4", "04:00:00", "score", "quick", "a", 0.9, day("calm", 0.9, "")))
	rows := Compare(earlier, parse(t, entry("n", "09:00:00", "score", "quick", "a", 0.5, day("rough", 0.5, "")+","+day("fresh-1", 0.1, ""))))
	if rows[1].Before != 0.5 || rows[1].Runs != 1 {
		t.Errorf("row of the day: %+v, want a comparison with one earlier score of 0.5", rows[1])
	}
	if rows[0].Runs != 2 || rows[0].Before != 0.7 { // the entry with another standard day is excluded
		t.Errorf("row of the site: %+v, want a comparison with two earlier scores whose median is 0.7", rows[0])
	}
}

func TestLatestOfEachSite(t *testing.T) {
	all := parse(t,
		entry("1", "01:00:00", "score", "quick", "a", 0.5, ""), entry("2", "02:00:00", "score", "quick", "b", 0.5, ""),
		entry("3", "03:00:00", "score", "quick", "a", 0.6, ""), entry("4", "04:00:00", "score", "", "a", 0.7, ""))
	earlier, now, err := LatestScores(all, true, nil)
	if err != nil || len(now) != 2 || now[0].ID != "3" || now[1].ID != "2" || len(earlier) != 1 || earlier[0].ID != "1" {
		t.Errorf("latest scores %v, earlier entries %v, error %v; want entries 3 and 2 as the latest and entry 1 as the earlier one", now, earlier, err)
	}
	if _, _, err := LatestScores(all, true, []string{"c"}); err == nil {
		t.Error("LatestScores of a site without a score succeeded, want an error")
	}
}

// Ignoring an invalid entry could hide a lower score.
func TestInvalidJournalEntriesAreErrors(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("2.json", entry("2", "02:00:00", "score", "quick", "a", 0.5, ""))
	write("1.json", entry("1", "03:00:00", "score", "quick", "a", 0.5, ""))
	write("notes.txt", "ignored")
	all, err := ReadJournal(dir)
	if err != nil || len(all) != 2 || all[0].ID != "2" {
		t.Fatalf("journal entries %v, error %v; want 2 entries, entry 2 first", all, err)
	}
	for _, text := range []string{`{`, `{"v":1}`, `{"id":"x","cmd":"score","at":["yesterday"]}`} {
		write("3.json", text)
		if _, err := ReadJournal(dir); err == nil || !strings.Contains(err.Error(), "3.json") {
			t.Errorf("entry %s: error %v, want one that names the file", text, err)
		}
	}
}

// A repeated run may show that a score dropped by chance, but cannot undo a rule violation.
func TestRunsAreMerged(t *testing.T) {
	one := entry("1", "08:00:00", "score", "quick", "a", 0.60, day("rough", 0.50, `,"rules":{"quota":1}`))
	two := entry("2", "09:00:00", "score", "quick", "a", 0.80, day("rough", 0.70, ""))
	merged := MergeRuns(parse(t, one, two, entry("3", "09:00:00", "hunt", "", "a", 0, day("h", 0.1, "")), entry("4", "09:00:00", "hunt", "", "a", 0, day("h", 0.2, ""))))
	if len(merged) != 3 || merged[0].Score != 0.70 || merged[0].Days[0].Score != 0.60 || merged[0].Days[0].Violations["quota"] != 1 || merged[1].Days[0].Score != 0.1 {
		t.Fatalf("merged entries %+v, want the mean scores 0.70 and 0.60 with the violation, and the two fault searches unmerged", merged)
	}
	for _, c := range []struct {
		now  string
		want int
	}{{one, 0}, {entry("1", "08:00:00", "score", "quick", "a", 0.60, day("rough", 0.60, "")), 1}, {two, 0}} {
		if got := SitesWithOnlyScoreDrops(Compare(history(t), parse(t, c.now))); len(got) != c.want {
			t.Errorf("sites that failed only because of lower scores: %q, want %d sites", got, c.want)
		}
	}
}
