package regress

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MaxFall is by how much a score may be below what it was.
const MaxFall = 0.03

const (
	// recentRuns is how many earlier scores count. A score is compared with their median, so
	// that neither one lucky run nor one unlucky one decides, and a series of small falls shows.
	recentRuns = 5
	// dayNoiseFactor is how many times its noise the score of a day must fall to count.
	dayNoiseFactor = 2
	// roundingTolerance keeps rounding errors from counting as falls.
	roundingTolerance = 1e-9
	// freshDayPrefix begins the names of days that the benchmark drew at random.
	freshDayPrefix = "fresh-"
)

// Row is a line of the comparison: a site, or one of its days.
type Row struct {
	Site string `json:"site"`
	// Day is empty for the site's own score.
	Day string  `json:"day"`
	Now float64 `json:"now"`
	// Before is the median of the Runs latest earlier scores, and Noise their
	// standard deviation; both are undefined where Runs is 0.
	Before float64 `json:"before"`
	Noise  float64 `json:"noise"`
	Runs   int     `json:"runs"`
	// Failed says why the change may not land, Note what deserves attention.
	Failed string `json:"failed,omitempty"`
	Note   string `json:"note,omitempty"`
	// Fell: only a lower score forbids to land, which another run may show to be chance.
	Fell bool `json:"fell,omitempty"`
}

// FellOnly lists the sites of which nothing but lower scores forbid to land.
func FellOnly(rows []Row) []string {
	fellOnly := map[string]bool{}
	for _, row := range rows {
		if row.Failed == "" {
			continue
		}
		before, known := fellOnly[row.Site]
		fellOnly[row.Site] = row.Fell && (before || !known)
	}
	maps.DeleteFunc(fellOnly, func(_ string, only bool) bool { return !only })
	return slices.Sorted(maps.Keys(fellOnly))
}

// Compare compares the entries of now with earlier ones. A broken rule, a failed day and a process
// that ended by itself forbid to land wherever they occur; so does a site's score that fell by more
// than MaxFall. A day's score also has to fall by more than dayNoiseFactor times its noise: a single
// day differs more from run to run than a site.
func Compare(earlier, now []Entry) []Row {
	var rows []Row
	for _, entry := range now {
		row := siteRow(earlier, entry)
		if entry.Command == commandScore || row.Failed != "" { // the other commands have days only
			rows = append(rows, row)
		}
		for _, day := range entry.Days {
			rows = append(rows, dayRow(earlier, entry.Site, day))
		}
	}
	return rows
}

// siteRow compares the score of a site.
func siteRow(earlier []Entry, entry Entry) Row {
	row := Row{Site: entry.Site, Now: entry.Score, Failed: entry.Failure}
	if row.Site == "" {
		row.Site = "(no site)"
	}
	if entry.Command == commandScore && entry.Failure == "" {
		row.compareWith(earlierSiteScores(earlier, entry), 0)
	}
	return row
}

// dayRow compares the score of one day of a site.
func dayRow(earlier []Entry, site string, day Day) Row {
	row := Row{Site: site, Day: day.Name, Now: day.Score, Failed: day.failure()}
	if row.Failed == "" {
		row.compareWith(earlierDayScores(earlier, site, day.Key), dayNoiseFactor)
	}
	return row
}

// earlierSiteScores are the earlier scores of the entry's site, oldest first, that are made of the
// same standard days.
func earlierSiteScores(earlier []Entry, entry Entry) []float64 {
	var scores []float64
	for _, other := range earlier {
		if other.Command == entry.Command && other.Quick == entry.Quick && other.Site == entry.Site && other.Failure == "" && sameStandardDays(other, entry) {
			scores = append(scores, other.Score)
		}
	}
	return scores
}

// sameStandardDays says whether two scores are made of the same standard days. A day that was
// drawn at random is new each time and does not count.
func sameStandardDays(a, b Entry) bool {
	return slices.Equal(a.standardDayKeys(), b.standardDayKeys())
}

// standardDayKeys are the sorted keys of the entry's standard days.
func (e Entry) standardDayKeys() []string {
	var keys []string
	for _, day := range e.Days {
		if !strings.HasPrefix(day.Name, freshDayPrefix) {
			keys = append(keys, day.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// earlierDayScores are the earlier scores of a day, oldest first. Only those of the command score
// count: single runs may be of other seeds, or without limits on processor time.
func earlierDayScores(earlier []Entry, site, key string) []float64 {
	var scores []float64
	for _, entry := range earlier {
		if entry.Command != commandScore || entry.Site != site {
			continue
		}
		for _, day := range entry.Days {
			if day.Key == key && day.failure() == "" {
				scores = append(scores, day.Score)
			}
		}
	}
	return scores
}

// failure says why the day forbids to land; "": it does not.
func (d Day) failure() string {
	var reasons []string
	for _, rule := range slices.Sorted(maps.Keys(d.Broken)) {
		if times := d.Broken[rule]; times > 0 {
			reasons = append(reasons, fmt.Sprintf("rule broken: %s (%d times)", rule, times))
		}
	}
	if d.Failure != "" {
		reasons = append(reasons, "day failed: "+d.Failure)
	}
	if d.Restarts > 0 {
		reasons = append(reasons, fmt.Sprintf("%.0f processes ended by themselves", d.Restarts))
	}
	return strings.Join(reasons, "; ")
}

// compareWith compares the row with earlier scores, oldest first. A fall counts if it exceeds
// MaxFall and noiseFactor times the noise.
func (r *Row) compareWith(earlier []float64, noiseFactor float64) {
	earlier = earlier[max(0, len(earlier)-recentRuns):]
	r.Runs = len(earlier)
	if r.Runs == 0 {
		r.Note = "first figure"
		return
	}
	r.Before, r.Noise = median(earlier), deviation(earlier)
	fall := r.Before - r.Now
	switch {
	case fall > max(MaxFall, noiseFactor*r.Noise)+roundingTolerance:
		r.Failed, r.Fell = fmt.Sprintf("fell by %.3f", fall), true
	case fall > MaxFall+roundingTolerance:
		r.Note = fmt.Sprintf("fell by %.3f, within its noise", fall)
	}
}

// Failures counts the rows that forbid to land.
func Failures(rows []Row) int {
	count := 0
	for _, row := range rows {
		if row.Failed != "" {
			count++
		}
	}
	return count
}
