package audit

import (
	"sync"
	"time"
)

// aggregator counts records that are too frequent to be written one by one: denials and
// reads. Records with equal keys share a count. To bound the number of lines under a flood of
// requests, new keys lose detail as the number of counts grows: first all fields are
// distinguished, then only identity, verb, outcome and reason, then only verb, outcome and
// reason. The sum of the counts stays exact.
type aggregator struct {
	mu       sync.Mutex
	counts   map[aggregateKey]*Record
	oldestAt time.Time // time of the oldest record
}

// aggregateKey has the fields that are equal in records that are counted together. It omits
// the address, which may differ with every connection; a count keeps the first address.
type aggregateKey struct{ who, how, verb, team, class, job, outcome, reason string }

const (
	// maxFullKeys is the number of counts from which new keys omit team, class and job.
	maxFullKeys = 64
	// maxIdentityKeys is the number of counts from which new keys omit the identity as well.
	maxIdentityKeys = 128
	// otherIdentities replaces the identity in keys without one.
	otherIdentities = "(others)"
)

// add counts a record.
func (a *aggregator) add(r Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[aggregateKey]*Record{}
	}
	if len(a.counts) == 0 {
		a.oldestAt = r.At
	}
	key := aggregateKey{r.Identity, r.Credential, r.Verb, r.Team, r.Class, r.Job, r.Outcome, r.Reason}
	if a.counts[key] == nil && len(a.counts) >= maxFullKeys {
		r.Team, r.Class, r.Job, r.Detail = "", "", "", ""
		key = aggregateKey{who: r.Identity, how: r.Credential, verb: r.Verb, outcome: r.Outcome, reason: r.Reason}
	}
	if a.counts[key] == nil && len(a.counts) >= maxIdentityKeys {
		r.Identity, r.Credential, r.Address = otherIdentities, "", ""
		key = aggregateKey{who: otherIdentities, verb: r.Verb, outcome: r.Outcome, reason: r.Reason}
	}
	r.Count = max(1, r.Count)
	if counted := a.counts[key]; counted != nil {
		counted.merge(&r)
		return
	}
	a.counts[key] = &r
}

// merge adds a later record with the same key to the count.
func (r *Record) merge(later *Record) {
	r.Count += later.Count
	last := later.At
	if later.LastAt != nil {
		last = *later.LastAt
	}
	r.LastAt = &last
}

// drain removes and returns all records.
func (a *aggregator) drain() []Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := make([]Record, 0, len(a.counts))
	for _, record := range a.counts {
		records = append(records, *record)
	}
	a.counts = nil
	return records
}

// age returns the time since the oldest record, 0 if there is none.
func (a *aggregator) age(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.counts) == 0 {
		return 0
	}
	return now.Sub(a.oldestAt)
}
