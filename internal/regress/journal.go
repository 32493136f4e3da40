// Package regress compares new scores of the users' benchmark with earlier ones in the benchmark's
// journal, and decides whether a change may land.
//
// It reads journal entries (journal.go), compares their scores (compare.go) and reads the list of
// tests that are known to fail (known_failures.go). It runs no program and does not depend on a
// particular site.
package regress

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Entry is one journal entry: the days that one run of the benchmark played on one site.
type Entry struct {
	ID        string
	Command   string // the benchmark's command: score, hunt, run, ...
	Quick     bool
	Why       string
	StartedAt time.Time
	// Site is empty if the run ended before it had read a site file.
	Site  string
	Score float64
	// Failure is the reason why the run's scores are not valid, or "" if they are valid.
	Failure string
	Days    []Day
}

// Day is the result of one day that a run played.
type Day struct {
	Name string
	// Key differs between days of the same name with different definitions.
	Key        string
	Score      float64
	Violations map[string]int // number of violations by rule
	Failure    string
	Restarts   float64 // processes that exited by themselves
}

// commandScore is the benchmark's command that plays the standard days of sites.
const commandScore = "score"

// journalEntry is an entry as the benchmark writes it; other fields are ignored.
type journalEntry struct {
	ID      string       `json:"id"`
	At      []string     `json:"at"`
	Command string       `json:"cmd"`
	Mode    string       `json:"mode"`
	Why     string       `json:"why"`
	Site    string       `json:"site"`
	SiteSHA string       `json:"site_sha"`
	OK      bool         `json:"ok"`
	Error   string       `json:"error"`
	Score   *float64     `json:"score"`
	Days    []journalDay `json:"days"`
	LeftOut int          `json:"days_left_out"`
	Edited  bool         `json:"edited_meanwhile"`
}

// journalDay is a day of an entry as the benchmark writes it.
type journalDay struct {
	Name     string          `json:"name"`
	Day      string          `json:"day"`
	Score    *float64        `json:"score"`
	Rules    map[string]int  `json:"rules"`
	Fault    json.RawMessage `json:"fault"`
	Restarts float64         `json:"restarts"`
}

// ParseEntry parses one journal entry.
func ParseEntry(data []byte) (Entry, error) {
	var raw journalEntry
	if err := json.Unmarshal(data, &raw); err != nil {
		return Entry{}, err
	}
	if raw.ID == "" || raw.Command == "" || len(raw.At) == 0 {
		return Entry{}, errors.New("not a journal entry: id, cmd or at is missing")
	}
	begun, err := time.Parse(time.RFC3339, raw.At[0])
	if err != nil {
		return Entry{}, fmt.Errorf("at: %w", err)
	}
	entry := Entry{
		ID:        raw.ID,
		Command:   raw.Command,
		Quick:     raw.Mode == "quick",
		Why:       raw.Why,
		StartedAt: begun,
		Site:      raw.Site,
		Failure:   raw.failure(),
	}
	if raw.Score != nil {
		entry.Score = *raw.Score
	}
	for _, day := range raw.Days {
		entry.Days = append(entry.Days, day.parse(raw.SiteSHA))
	}
	return entry, nil
}

// failure returns the reason why the entry's scores are not valid, or "" if they are valid.
func (e *journalEntry) failure() string {
	switch {
	case e.Error != "":
		return e.Error
	case !e.OK:
		return "the run failed"
	case e.Command == commandScore && e.Score == nil:
		return "the run has no score"
	case e.LeftOut > 0:
		return fmt.Sprintf("%d days were left out", e.LeftOut)
	case e.Edited:
		return "the sources changed during the run, so the figures may not be theirs"
	}
	return ""
}

// parse converts a day of the site whose file has the checksum siteSHA.
func (d *journalDay) parse(siteSHA string) Day {
	day := Day{Name: d.Name, Key: siteSHA + "/" + d.Day, Violations: d.Rules, Restarts: d.Restarts}
	if fault := strings.Trim(string(d.Fault), `"`); fault != "" && fault != "null" {
		day.Failure = fault
	}
	if d.Score != nil {
		day.Score = *d.Score
	} else if day.Failure == "" {
		day.Failure = "the day has no score"
	}
	return day
}

// ReadJournal reads the entries in a journal directory, oldest first. An invalid entry is an error,
// since ignoring it could hide a lower score.
func ReadJournal(dir string) ([]Entry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []Entry
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		e, err := ParseEntry(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, e)
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return a.StartedAt.Compare(b.StartedAt) })
	return all, nil
}

// LatestScores returns the latest score entry of each site, and all earlier entries of these sites.
// An empty list of sites selects all.
func LatestScores(all []Entry, quick bool, sites []string) (earlier, now []Entry, err error) {
	last := map[string]Entry{}
	for _, e := range all {
		if e.Command == commandScore && e.Quick == quick && e.Site != "" && (len(sites) == 0 || slices.Contains(sites, e.Site)) {
			last[e.Site] = e
		}
	}
	for _, s := range sites {
		if _, ok := last[s]; !ok {
			return nil, nil, fmt.Errorf("the journal has no such score of site %q", s)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(last)) {
		now = append(now, last[s])
	}
	for _, e := range all {
		if l, ok := last[e.Site]; ok && e.StartedAt.Before(l.StartedAt) {
			earlier = append(earlier, e)
		}
	}
	return earlier, now, nil
}
