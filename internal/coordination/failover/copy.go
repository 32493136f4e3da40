package failover

import (
	"maps"
	"slices"
)

// Record is one record as a copy holds it.
type Record[V any] struct {
	Version uint64
	Value   V
}

// Change is a record that was written, or dropped.
type Change[V any] struct {
	Key     string
	Version uint64
	Deleted bool
	Value   V
}

// Replica is what the state service holds under a prefix, up to a revision. It is a hint
// until that revision has reached the claim under which it is used: nothing of the
// owner before is applied after that (1).
type Replica[V any] struct {
	revision uint64
	records  map[string]Record[V]
	// dropped are the revisions at which records went, as far back as a sample may be
	// compared.
	dropped map[string]uint64
}

// Revision is the revision up to which everything is known; 0: nothing is.
func (c *Replica[V]) Revision() uint64 { return c.revision }

// Len is how many records there are.
func (c *Replica[V]) Len() int { return len(c.records) }

// All yields the records.
func (c *Replica[V]) All(yield func(string, Record[V]) bool) { maps.All(c.records)(yield) }

// Reset makes the copy empty.
func (c *Replica[V]) Reset() { *c = Replica[V]{} }

// StartFrom takes in a listing, which stands at a revision or later: what was written while
// its pages were read comes again with the changes.
func (c *Replica[V]) StartFrom(all []Change[V], revision uint64) {
	*c = Replica[V]{revision: revision, records: make(map[string]Record[V], len(all)), dropped: map[string]uint64{}}
	for _, ch := range all {
		c.records[ch.Key] = Record[V]{ch.Version, ch.Value}
	}
}

// Apply takes in the changes after one revision and up to another, and says whether they
// join what is known. Changes that are known already do nothing. took sees each that is new.
func (c *Replica[V]) Apply(after, upto uint64, changes []Change[V], took func(Change[V])) bool {
	if c.revision == 0 || after > c.revision {
		return false // something between is missing
	}
	for _, ch := range changes {
		// A listing may already hold what was written after its first page.
		if ch.Version <= c.revision || ch.Version <= c.records[ch.Key].Version || ch.Version <= c.dropped[ch.Key] {
			continue
		}
		if ch.Deleted {
			delete(c.records, ch.Key)
			c.dropped[ch.Key] = ch.Version
		} else {
			c.records[ch.Key] = Record[V]{ch.Version, ch.Value}
		}
		took(ch)
	}
	c.revision = max(c.revision, upto)
	return true
}

// Sample is a page of the store: the records with keys after From and up to Last, all of
// them, as they stood at a revision. Last is empty where the page was the last one.
type Sample[V any] struct {
	From, Last string
	Revision   uint64
	Records    []Change[V]
}

// Mismatches names the keys that stand otherwise in the copy than in a sample, though neither
// says that they were changed since. The copy must have come to the sample's revision; ok
// is false while it has not.
func (c *Replica[V]) Mismatches(s Sample[V], same func(a, b V) bool) (keys []string, ok bool) {
	if c.revision < s.Revision {
		return nil, false
	}
	stored := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		stored[r.Key] = true
		own, have := c.records[r.Key]
		switch {
		case !have && c.dropped[r.Key] > s.Revision, have && own.Version > s.Revision:
			// Changed since the sample.
		case !have || own.Version != r.Version || !same(own.Value, r.Value):
			keys = append(keys, r.Key)
		}
	}
	for key, own := range c.records {
		if key > s.From && (s.Last == "" || key <= s.Last) && !stored[key] && own.Version <= s.Revision {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	maps.DeleteFunc(c.dropped, func(_ string, at uint64) bool { return at <= s.Revision })
	return keys, true
}

// Lag tells when a copy falls behind and when it has caught up, once each.
type Lag struct{ behind bool }

// Changed takes in how far behind the copy is, and says whether to tell so now.
func (l *Lag) Changed(behindS, limitS float64) (told, behind bool) {
	switch {
	case !l.behind && behindS > limitS:
		l.behind = true
		return true, true
	case l.behind && behindS <= limitS/2:
		l.behind = false
		return true, false
	}
	return false, l.behind
}

// KeepStandby is Choose with patience: the standby that has a copy already stays, as long as it
// is there, stands in as good a zone as any, and does not carry far more than another.
func KeepStandby(now, owner, zone string, all []Candidate) string {
	best := ChooseStandby(owner, zone, all)
	if now == "" || now == best || now == owner {
		return best
	}
	at := func(label string) int {
		return slices.IndexFunc(all, func(c Candidate) bool { return c.Label == label })
	}
	i, k := at(now), at(best)
	if i < 0 || k < 0 || all[i].Zone == zone && all[k].Zone != zone || all[i].Machines > 2*all[k].Machines+patience {
		return best
	}
	return now
}

// patience is how many machines more than twice the least loaded's a standby may carry
// before another is named: to copy anew costs requests, and the standby is cold meanwhile.
const patience = 50
