package regress

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// MaxFall is by how much a figure may be below what it was.
const MaxFall = 0.03

// recentRuns is how many earlier figures count. Their median is what a figure is
// compared with, so that neither one lucky run nor one unlucky one decides, and a
// series of small falls shows.
const recentRuns = 5

// Row is a line of the comparison: a site, or one of its days.
type Row struct {
	Site string `json:"site"`
	// Day is empty for the site's own figure.
	Day string  `json:"day"`
	Now float64 `json:"now"`
	// Before is the median of the Runs latest earlier figures, and Noise their
	// standard deviation; both mean nothing where Runs is 0.
	Before float64 `json:"before"`
	Noise  float64 `json:"noise"`
	Runs   int     `json:"runs"`
	// Failed says what forbids to land, Note what deserves a look.
	Failed string `json:"failed,omitempty"`
	Note   string `json:"note,omitempty"`
	// Fell: it is only a fall that forbids to land, which another run may show to
	// be chance.
	Fell bool `json:"fell,omitempty"`
}

// Merge makes one entry of the runs of a site with the same verb and mode: the
// means of their figures, and all that went wrong in any of them.
func Merge(entries []Entry) []Entry {
	var out []Entry
	counts := map[int]float64{}
	for _, e := range entries {
		at := slices.IndexFunc(out, func(o Entry) bool {
			return o.Site == e.Site && o.Command == e.Command && o.Quick == e.Quick && (e.Site != "" || o.ID == e.ID)
		})
		if at < 0 || e.Command != "score" { // the days of hunts are others each time
			e.Days = slices.Clone(e.Days)
			out = append(out, e)
			counts[len(out)-1] = 1
			continue
		}
		o := &out[at]
		n := counts[at]
		counts[at]++
		o.Score = (o.Score*n + e.Score) / (n + 1)
		if e.Failure != "" {
			o.Failure = e.Failure
		}
		for _, d := range e.Days {
			i := slices.IndexFunc(o.Days, func(od Day) bool { return od.Key == d.Key })
			if i < 0 {
				o.Days = append(o.Days, d)
				continue
			}
			od := &o.Days[i]
			od.Score = (od.Score*n + d.Score) / (n + 1)
			od.Restarts += d.Restarts
			od.Broken = maps.Clone(od.Broken)
			for rule, times := range d.Broken {
				if od.Broken == nil {
					od.Broken = map[string]int{}
				}
				od.Broken[rule] += times
			}
			if d.Failure != "" {
				od.Failure = d.Failure
			}
		}
	}
	return out
}

// FellOnly are the sites of which nothing but falls forbid to land.
func FellOnly(rows []Row) []string {
	worst := map[string]bool{} // site: something else forbids
	for _, r := range rows {
		if r.Failed != "" {
			worst[r.Site] = worst[r.Site] || !r.Fell
		}
	}
	var out []string
	for _, site := range slices.Sorted(maps.Keys(worst)) {
		if !worst[site] {
			out = append(out, site)
		}
	}
	return out
}

// Compare sets the entries of now against earlier ones. A broken rule, a failed
// day and a process that ended by itself forbid to land wherever they occur; so
// does a site's figure that fell by more than Fall. A day's figure also has to
// fall by more than twice its noise: a single day differs more from run to run
// than a site.
func Compare(earlier, now []Entry) []Row {
	var rows []Row
	for _, e := range now {
		row := Row{Site: e.Site, Now: e.Score, Failed: e.Failure}
		if row.Site == "" {
			row.Site = "(no site)"
		}
		if e.Command == "score" && e.Failure == "" {
			var past []float64
			for _, p := range earlier {
				if p.Command == e.Command && p.Quick == e.Quick && p.Site == e.Site && p.Failure == "" && sameStandardDays(p, e) {
					past = append(past, p.Score)
				}
			}
			row.compareWith(past, 0)
		}
		if e.Command == "score" || row.Failed != "" { // the other verbs have days only
			rows = append(rows, row)
		}
		for _, d := range e.Days {
			row := Row{Site: e.Site, Day: d.Name, Now: d.Score, Failed: d.failure()}
			if row.Failed == "" {
				row.compareWith(earlierScores(earlier, e.Site, d.Key), 2)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// sameStandardDays tells whether two scores are made of the same standard days. A day
// that was drawn just now is new each time and does not count.
func sameStandardDays(a, b Entry) bool {
	keys := func(e Entry) []string {
		var k []string
		for _, d := range e.Days {
			if !strings.HasPrefix(d.Name, "fresh-") {
				k = append(k, d.Key)
			}
		}
		slices.Sort(k)
		return k
	}
	return slices.Equal(keys(a), keys(b))
}

// earlierScores are the earlier ones of a day, oldest first. Only scores count: single
// runs may be of other seeds, or without processor time.
func earlierScores(earlier []Entry, site, key string) []float64 {
	var all []float64
	for _, e := range earlier {
		if e.Command != "score" || e.Site != site {
			continue
		}
		for _, d := range e.Days {
			if d.Key == key && d.failure() == "" {
				all = append(all, d.Score)
			}
		}
	}
	return all
}

func (d Day) failure() string {
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(d.Broken)) {
		if n := d.Broken[rule]; n > 0 {
			all = append(all, fmt.Sprintf("rule broken: %s (%d times)", rule, n))
		}
	}
	if d.Failure != "" {
		all = append(all, "day failed: "+d.Failure)
	}
	if d.Restarts > 0 {
		all = append(all, fmt.Sprintf("%.0f processes ended by themselves", d.Restarts))
	}
	return strings.Join(all, "; ")
}

// compareWith fills in what is known from earlier figures. A fall counts if it
// exceeds Fall and so many times the noise.
func (r *Row) compareWith(past []float64, noises float64) {
	past = past[max(0, len(past)-recentRuns):]
	r.Runs = len(past)
	if r.Runs == 0 {
		r.Note = "first figure"
		return
	}
	r.Before, r.Noise = median(past), deviation(past)
	fall := r.Before - r.Now
	switch {
	case fall > max(MaxFall, noises*r.Noise)+1e-9:
		r.Failed, r.Fell = fmt.Sprintf("fell by %.3f", fall), true
	case fall > MaxFall+1e-9:
		r.Note = fmt.Sprintf("fell by %.3f, within its noise", fall)
	}
}

// Failures counts the rows that forbid to land.
func Failures(rows []Row) int {
	n := 0
	for _, r := range rows {
		if r.Failed != "" {
			n++
		}
	}
	return n
}

func median(values []float64) float64 {
	s := slices.Sorted(slices.Values(values))
	n := len(s)
	return (s[(n-1)/2] + s[n/2]) / 2
}

func deviation(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	mean, squares := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return math.Sqrt(squares / float64(len(values)-1))
}

// Latest splits a journal into the latest score of each site and what was played
// of that site before. No sites means all.
func Latest(all []Entry, quick bool, sites []string) (earlier, now []Entry, err error) {
	last := map[string]Entry{}
	for _, e := range all {
		if e.Command == "score" && e.Quick == quick && e.Site != "" && (len(sites) == 0 || slices.Contains(sites, e.Site)) {
			last[e.Site] = e
		}
	}
	for _, s := range sites {
		if _, ok := last[s]; !ok {
			return nil, nil, fmt.Errorf("the journal has no such score of %q", s)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(last)) {
		now = append(now, last[s])
	}
	for _, e := range all {
		if l, ok := last[e.Site]; ok && e.Begun.Before(l.Begun) {
			earlier = append(earlier, e)
		}
	}
	return earlier, now, nil
}
