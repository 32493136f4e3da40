package audit

import (
	"sync"
	"time"
)

// tally gathers what is too frequent to be recorded one by one: denials and
// reads. Equal ones are counted, and the more different ones come, the less a
// count tells them apart: first by everything, then by identity and verb, then only by
// verb and reason. So a flood takes a bounded number of lines and the counts still add up.
type tally struct {
	mu     sync.Mutex
	counts map[tallyKey]*Record
	since  time.Time // when the oldest came
}

// tallyKey is what makes two records equal. The address is left out: it would
// make every connection different; the first one is kept.
type tallyKey struct{ who, how, verb, team, class, job, outcome, reason string }

const (
	// maxDetailed is up to how many counts records are distinguished by everything.
	maxDetailed = 64
	// maxByIdentity is up to how many counts they are distinguished by identity and verb.
	maxByIdentity = 128
	// others stands for the identities that are not distinguished.
	others = "(others)"
)

// add counts a record.
func (t *tally) add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[tallyKey]*Record{}
	}
	if len(t.counts) == 0 {
		t.since = r.At
	}
	key := tallyKey{r.Who, r.How, r.Verb, r.Team, r.Class, r.Job, r.Outcome, r.Reason}
	if t.counts[key] == nil && len(t.counts) >= maxDetailed {
		r.Team, r.Class, r.Job, r.Detail = "", "", "", ""
		key = tallyKey{who: r.Who, how: r.How, verb: r.Verb, outcome: r.Outcome, reason: r.Reason}
	}
	if t.counts[key] == nil && len(t.counts) >= maxByIdentity {
		r.Who, r.How, r.From = others, "", ""
		key = tallyKey{who: others, verb: r.Verb, outcome: r.Outcome, reason: r.Reason}
	}
	r.Count = max(1, r.Count)
	if counted := t.counts[key]; counted != nil {
		counted.merge(&r)
		return
	}
	t.counts[key] = &r
}

// merge counts a later record that is equal.
func (r *Record) merge(later *Record) {
	r.Count += later.Count
	last := later.At
	if later.Until != nil {
		last = *later.Until
	}
	r.Until = &last
}

// drain removes and returns everything.
func (t *tally) drain() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.counts))
	for _, record := range t.counts {
		records = append(records, *record)
	}
	t.counts = nil
	return records
}

// oldest says how long the oldest record has waited.
func (t *tally) oldest(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.counts) == 0 {
		return 0
	}
	return now.Sub(t.since)
}
