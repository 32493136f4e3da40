// Package regress compares the bench's latest figures with those that its
// journal holds, and decides whether a change may land.
//
// It owns the reading of journal entries and the verdict, which are pure; it
// runs nothing and knows no site.
package regress

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Entry is one journal entry: the days that a bench run played of one site.
type Entry struct {
	ID      string
	Command string // score, hunt, run, ...
	Quick   bool
	Why     string
	Begun   time.Time
	// Site is empty where the run ended before it had read one.
	Site  string
	Score float64
	// Failure says why the run has no figures; "" if it has.
	Failure string
	Days    []Day
}

// Day is one played day.
type Day struct {
	Name string
	// Key tells days of the same name apart whose definition differs.
	Key      string
	Score    float64
	Broken   map[string]int // rule: how often
	Failure  string
	Restarts float64 // processes that ended by themselves
}

// wireEntry is an entry as the bench writes it; what is not named is passed over.
type wireEntry struct {
	ID      string    `json:"id"`
	At      []string  `json:"at"`
	Cmd     string    `json:"cmd"`
	Mode    string    `json:"mode"`
	Why     string    `json:"why"`
	Site    *string   `json:"site"`
	SiteSHA *string   `json:"site_sha"`
	OK      bool      `json:"ok"`
	Error   *string   `json:"error"`
	Score   *float64  `json:"score"`
	Days    []wireDay `json:"days"`
	Left    int       `json:"days_left_out"`
	Edited  bool      `json:"edited_meanwhile"`
}

type wireDay struct {
	Name     string          `json:"name"`
	Day      string          `json:"day"`
	Score    *float64        `json:"score"`
	Rules    map[string]int  `json:"rules"`
	Fault    json.RawMessage `json:"fault"`
	Restarts float64         `json:"restarts"`
}

// Parse reads one entry.
func Parse(data []byte) (Entry, error) {
	var w wireEntry
	if err := json.Unmarshal(data, &w); err != nil {
		return Entry{}, err
	}
	if w.ID == "" || w.Cmd == "" || len(w.At) == 0 {
		return Entry{}, errors.New("no journal entry: id, cmd or at is missing")
	}
	begun, err := time.Parse(time.RFC3339, w.At[0])
	if err != nil {
		return Entry{}, fmt.Errorf("at: %w", err)
	}
	e := Entry{ID: w.ID, Command: w.Cmd, Quick: w.Mode == "quick", Why: w.Why, Begun: begun}
	if w.Site != nil {
		e.Site = *w.Site
	}
	switch {
	case w.Error != nil && *w.Error != "":
		e.Failure = *w.Error
	case !w.OK:
		e.Failure = "the run failed"
	case w.Cmd == "score" && w.Score == nil:
		e.Failure = "the run has no score"
	case w.Left > 0:
		e.Failure = fmt.Sprintf("%d days were left out", w.Left)
	case w.Edited:
		e.Failure = "the sources changed during the run, so the figures may not be theirs"
	}
	if w.Score != nil {
		e.Score = *w.Score
	}
	sha := ""
	if w.SiteSHA != nil {
		sha = *w.SiteSHA
	}
	for _, d := range w.Days {
		day := Day{Name: d.Name, Key: sha + "/" + d.Day, Broken: d.Rules, Restarts: d.Restarts}
		if fault := strings.Trim(string(d.Fault), `"`); fault != "" && fault != "null" {
			day.Failure = fault
		}
		if d.Score != nil {
			day.Score = *d.Score
		} else if day.Failure == "" {
			day.Failure = "the day has no score"
		}
		e.Days = append(e.Days, day)
	}
	return e, nil
}

// Read reads the entries of a journal's folder, oldest first. What is no entry is
// an error, since a figure that is passed over could hide a fall.
func Read(dir string) ([]Entry, error) {
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
		e, err := Parse(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, e)
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return a.Begun.Compare(b.Begun) })
	return all, nil
}
