package regress

import (
	"maps"
	"slices"
)

// Merge makes one entry of the runs of a site with the same command and mode: the means of their
// scores, and all that went wrong in any of them. Only scores are merged, since a fault search
// plays other days each time.
func Merge(entries []Entry) []Entry {
	var merged []Entry
	runs := map[int]float64{} // by index in merged
	for _, entry := range entries {
		index := slices.IndexFunc(merged, entry.isRunOf)
		if index < 0 || entry.Command != commandScore {
			entry.Days = slices.Clone(entry.Days)
			merged = append(merged, entry)
			runs[len(merged)-1] = 1
			continue
		}
		merged[index].add(entry, runs[index])
		runs[index]++
	}
	return merged
}

// isRunOf says whether two entries are of the same site, command and mode. Entries without a site
// are only themselves.
func (e Entry) isRunOf(other Entry) bool {
	return other.Site == e.Site && other.Command == e.Command && other.Quick == e.Quick && (e.Site != "" || other.ID == e.ID)
}

// add merges a further run into an entry that has so many.
func (e *Entry) add(run Entry, runs float64) {
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
		e.Days[index].add(day, runs)
	}
}

// add merges a further run of a day into one that has so many.
func (d *Day) add(run Day, runs float64) {
	d.Score = meanWith(d.Score, runs, run.Score)
	d.Restarts += run.Restarts
	d.Broken = maps.Clone(d.Broken)
	for rule, times := range run.Broken {
		if d.Broken == nil {
			d.Broken = map[string]int{}
		}
		d.Broken[rule] += times
	}
	if run.Failure != "" {
		d.Failure = run.Failure
	}
}

// meanWith is the mean of so many values and one more.
func meanWith(mean, count, value float64) float64 { return (mean*count + value) / (count + 1) }
