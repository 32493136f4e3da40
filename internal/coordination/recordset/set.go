// Package recordset holds the records that the state store has under a prefix, up to a revision:
// begun from a listing, brought up to date by changes, and compared with samples of the store. It
// knows no record's meaning and makes no requests.
package recordset

import (
	"maps"
	"slices"
)

// Record is one record as a set holds it.
type Record[V any] struct {
	Version uint64
	Value   V
}

// Change is a record that was written, or deleted.
type Change[V any] struct {
	Key     string
	Version uint64
	Deleted bool
	Value   V
}

// Set is what the state store holds under a prefix, up to a revision. It is a hint until that
// revision has reached the lease's under which it is used: nothing that the former leader writes
// is applied after that (rule 1). Its zero value knows nothing.
type Set[V any] struct {
	revision uint64
	records  map[string]Record[V]
	// deleted has the revisions at which records were deleted, as far back as a sample may be
	// compared.
	deleted map[string]uint64
}

// Revision is the revision up to which everything is known; 0: nothing is.
func (s *Set[V]) Revision() uint64 { return s.revision }

// Len is how many records there are.
func (s *Set[V]) Len() int { return len(s.records) }

// All yields the records by key, in no order.
func (s *Set[V]) All(yield func(string, Record[V]) bool) { maps.All(s.records)(yield) }

// Reset makes the set know nothing.
func (s *Set[V]) Reset() { *s = Set[V]{} }

// StartFrom begins with a listing that stands at a revision or later: what was written while its
// pages were read comes again with the changes.
func (s *Set[V]) StartFrom(all []Change[V], revision uint64) {
	*s = Set[V]{revision: revision, records: make(map[string]Record[V], len(all)), deleted: map[string]uint64{}}
	for _, change := range all {
		s.records[change.Key] = Record[V]{change.Version, change.Value}
	}
}

// Apply applies the changes after one revision and up to another, and says whether they join what
// is known. Changes that are known already do nothing. applied is called with each that is new.
func (s *Set[V]) Apply(after, upTo uint64, changes []Change[V], applied func(Change[V])) bool {
	if s.revision == 0 || after > s.revision {
		return false // something between is missing
	}
	for _, change := range changes {
		// A listing may already hold what was written after its first page.
		if change.Version <= s.revision || change.Version <= s.records[change.Key].Version || change.Version <= s.deleted[change.Key] {
			continue
		}
		if change.Deleted {
			delete(s.records, change.Key)
			s.deleted[change.Key] = change.Version
		} else {
			s.records[change.Key] = Record[V]{change.Version, change.Value}
		}
		applied(change)
	}
	s.revision = max(s.revision, upTo)
	return true
}

// Sample is a page of the store: the records with keys after From and up to Last, all of them, as
// they stood at a revision. Last is empty where the page was the last one.
type Sample[V any] struct {
	From, Last string
	Revision   uint64
	Records    []Change[V]
}

// Mismatches names the keys whose records differ between the set and a sample, though neither says
// that they were changed since. The set must have come to the sample's revision; ok is false while
// it has not.
func (s *Set[V]) Mismatches(sample Sample[V], equal func(a, b V) bool) (keys []string, ok bool) {
	if s.revision < sample.Revision {
		return nil, false
	}
	stored := make(map[string]bool, len(sample.Records))
	for _, record := range sample.Records {
		stored[record.Key] = true
		own, known := s.records[record.Key]
		switch {
		case !known && s.deleted[record.Key] > sample.Revision, known && own.Version > sample.Revision:
			// Changed since the sample.
		case !known || own.Version != record.Version || !equal(own.Value, record.Value):
			keys = append(keys, record.Key)
		}
	}
	for key, own := range s.records {
		if sample.covers(key) && !stored[key] && own.Version <= sample.Revision {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	maps.DeleteFunc(s.deleted, func(_ string, at uint64) bool { return at <= sample.Revision })
	return keys, true
}

// covers says whether a record with this key would be in the sample.
func (s *Sample[V]) covers(key string) bool {
	return key > s.From && (s.Last == "" || key <= s.Last)
}
