package regress

import (
	"maps"
	"slices"
)

// MergeRuns merges entries of the same site, command and mode into one, with the mean scores and the
// failures of all. Only entries of the score command are merged, since a fault search plays other
// days each time.
func MergeRuns(entries []Entry) []Entry {
	var merged []Entry
	runs := map[int]float64{} // by index in merged
	for _, entry := range entries {
		index := slices.IndexFunc(merged, entry.isRepeatOf)
		if index < 0 || entry.Command != commandScore {
			entry.Days = slices.Clone(entry.Days)
			merged = append(merged, entry)
			runs[len(merged)-1] = 1
			continue
		}
		merged[index].addRun(entry, runs[index])
		runs[index]++
	}
	return merged
}

// isRepeatOf reports whether two entries have the same site, command and mode. An entry without a
// site matches only itself.
func (e Entry) isRepeatOf(other Entry) bool {
	return other.Site == e.Site && other.Command == e.Command && other.Quick == e.Quick && (e.Site != "" || other.ID == e.ID)
}

// addRun merges another run into an entry that consists of the given number of runs.
func (e *Entry) addRun(run Entry, runs float64) {
	e.Score = meanWith(e.Score, runs, run.Score)
	if run.Failure != "" {
		e.Failure = run.Failure
	}
	for _, day := range run.Days {
		index := slices.IndexFunc(e.Days, func(other Day) bool { return other.Key == day.Key })
		if index < 0 {
			e.Days = append(e.Days, day)
			continue
		}
		e.Days[index].addRun(day, runs)
	}
}

// addRun merges another run of a day into a day that consists of the given number of runs.
func (d *Day) addRun(run Day, runs float64) {
	d.Score = meanWith(d.Score, runs, run.Score)
	d.Restarts += run.Restarts
	d.Violations = maps.Clone(d.Violations)
	for rule, times := range run.Violations {
		if d.Violations == nil {
			d.Violations = map[string]int{}
		}
		d.Violations[rule] += times
	}
	if run.Failure != "" {
		d.Failure = run.Failure
	}
}

// meanWith returns the mean of count+1 values: value, and count others whose mean is given.
func meanWith(mean, count, value float64) float64 { return (mean*count + value) / (count + 1) }
