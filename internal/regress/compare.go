package regress

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MaxScoreDrop is the largest allowed difference between an earlier score and a lower new one.
const MaxScoreDrop = 0.03

const (
	// recentRuns is the number of latest earlier scores whose median a new score is compared
	// with. The median limits the effect of a single outlier, but reflects a series of small
	// drops.
	recentRuns = 5
	// dayNoiseFactor is the multiple of its standard deviation by which the score of a day
	// must drop before the drop counts.
	dayNoiseFactor = 2
	// roundingTolerance keeps rounding errors from counting as drops.
	roundingTolerance = 1e-9
	// randomDayPrefix is the name prefix of days that the benchmark generated at random.
	randomDayPrefix = "fresh-"
)

// Row is one row of the comparison: the score of a site, or of one of its days.
type Row struct {
	Site string `json:"site"`
	// Day is empty for the site's own score.
	Day string  `json:"day"`
	Now float64 `json:"now"`
	// Before is the median of the Runs latest earlier scores, and Noise their
	// standard deviation; both are undefined if Runs is 0.
	Before float64 `json:"before"`
	Noise  float64 `json:"noise"`
	Runs   int     `json:"runs"`
	// Failed is the reason why the change may not land, and Note a remark that does not
	// prevent it.
	Failed string `json:"failed,omitempty"`
	Note   string `json:"note,omitempty"`
	// OnlyScoreDrop is set if the row failed only because of a lower score, which a repeated
	// run may show to be chance.
	OnlyScoreDrop bool `json:"fell,omitempty"`
}

// SitesWithOnlyScoreDrops lists the sites whose rows failed only because of lower scores.
func SitesWithOnlyScoreDrops(rows []Row) []string {
	fellOnly := map[string]bool{}
	for _, row := range rows {
		if row.Failed == "" {
			continue
		}
		before, known := fellOnly[row.Site]
		fellOnly[row.Site] = row.OnlyScoreDrop && (before || !known)
	}
	maps.DeleteFunc(fellOnly, func(_ string, only bool) bool { return !only })
	return slices.Sorted(maps.Keys(fellOnly))
}

// Compare compares new entries with earlier ones. A row fails on a violated rule, a failed day or a
// process that exited by itself, and if a site's score dropped by more than MaxScoreDrop. A day's
// score must also drop by more than dayNoiseFactor times its noise, since the score of a single day
// varies more from run to run than that of a site.
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

// earlierSiteScores returns the earlier scores of the entry's site, oldest first, that were computed
// from the same standard days.
func earlierSiteScores(earlier []Entry, entry Entry) []float64 {
	var scores []float64
	for _, other := range earlier {
		if other.Command == entry.Command && other.Quick == entry.Quick && other.Site == entry.Site && other.Failure == "" && sameStandardDays(other, entry) {
			scores = append(scores, other.Score)
		}
	}
	return scores
}

// sameStandardDays reports whether two scores were computed from the same standard days. Days that
// are generated at random differ in each run and are ignored.
func sameStandardDays(a, b Entry) bool {
	return slices.Equal(a.standardDayKeys(), b.standardDayKeys())
}

// standardDayKeys returns the sorted keys of the entry's standard days.
func (e Entry) standardDayKeys() []string {
	var keys []string
	for _, day := range e.Days {
		if !strings.HasPrefix(day.Name, randomDayPrefix) {
			keys = append(keys, day.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// earlierDayScores returns the earlier scores of a day, oldest first, from entries of the score
// command only: single runs may use other seeds, or have no CPU limits.
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

// failure returns the reason for which this day prevents the change from landing, or "" if there is
// none.
func (d Day) failure() string {
	var reasons []string
	for _, rule := range slices.Sorted(maps.Keys(d.Violations)) {
		if times := d.Violations[rule]; times > 0 {
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

// compareWith compares the row's score with earlier ones, oldest first. The row fails if the score
// dropped by more than MaxScoreDrop and by more than noiseFactor times the noise.
func (r *Row) compareWith(earlier []float64, noiseFactor float64) {
	earlier = earlier[max(0, len(earlier)-recentRuns):]
	r.Runs = len(earlier)
	if r.Runs == 0 {
		r.Note = "no earlier score"
		return
	}
	r.Before, r.Noise = median(earlier), standardDeviation(earlier)
	drop := r.Before - r.Now
	switch {
	case drop > max(MaxScoreDrop, noiseFactor*r.Noise)+roundingTolerance:
		r.Failed, r.OnlyScoreDrop = fmt.Sprintf("fell by %.3f", drop), true
	case drop > MaxScoreDrop+roundingTolerance:
		r.Note = fmt.Sprintf("fell by %.3f, within its noise", drop)
	}
}

// Failures returns the number of failed rows.
func Failures(rows []Row) int {
	count := 0
	for _, row := range rows {
		if row.Failed != "" {
			count++
		}
	}
	return count
}
