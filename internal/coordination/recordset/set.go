// Package recordset holds a copy of the records that the state store has under a prefix. The copy
// starts from a listing, follows changes, and can be compared with samples of the store. The
// package does not interpret the records and makes no requests.
package recordset

import (
	"maps"
	"slices"
)

// Record is the version and value of a record in a set.
type Record[V any] struct {
	Version uint64
	Value   V
}

// Change is a write or a deletion of a record.
type Change[V any] struct {
	Key     string
	Version uint64
	Deleted bool
	Value   V
}

// Set is a copy of the records under a prefix of the state store, as of a revision. A new leader may
// use the copy once that revision has reached the revision of the leader's lease: writes of the former
// leader have no effect after that revision (docs/design.md, rule 1). The zero value holds no records.
type Set[V any] struct {
	revision uint64
	records  map[string]Record[V]
	// deleted holds the revisions at which records were deleted after the last sample.
	deleted map[string]uint64
}

// Revision returns the revision up to which all changes are applied, or 0 before StartFrom.
func (s *Set[V]) Revision() uint64 { return s.revision }

// Len returns the number of records.
func (s *Set[V]) Len() int { return len(s.records) }

// All yields the keys and records in no particular order.
func (s *Set[V]) All(yield func(string, Record[V]) bool) { maps.All(s.records)(yield) }

// Reset returns the set to its zero value.
func (s *Set[V]) Reset() { *s = Set[V]{} }

// StartFrom replaces the set by a listing. revision is that of the listing's first page: later pages
// may hold newer records, whose changes Apply then skips.
func (s *Set[V]) StartFrom(all []Change[V], revision uint64) {
	*s = Set[V]{revision: revision, records: make(map[string]Record[V], len(all)), deleted: map[string]uint64{}}
	for _, change := range all {
		s.records[change.Key] = Record[V]{change.Version, change.Value}
	}
}

// Apply applies changes: all those with revisions above after and up to upTo. It returns false, and
// applies nothing, if the set has no listing yet or its revision is below after. Changes that the set
// already holds are skipped; applied is called with each of the others.
func (s *Set[V]) Apply(after, upTo uint64, changes []Change[V], applied func(Change[V])) bool {
	if s.revision == 0 || after > s.revision {
		return false
	}
	for _, change := range changes {
		// A listing may already hold records written after its first page was read.
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

// Sample is a page of the store at a revision: all records with keys after the key After, up to and
// including the key Last. Last is empty for the last page.
type Sample[V any] struct {
	After, Last string
	Revision    uint64
	Records     []Change[V]
}

// Mismatches returns the keys, in order, of the records that differ between the set and a sample,
// except those that changed after the sample. ok is false if the set has not yet reached the
// sample's revision.
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
			// Changed after the sample.
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

// covers reports whether the sample would contain a record with the key.
func (s *Sample[V]) covers(key string) bool {
	return key > s.After && (s.Last == "" || key <= s.Last)
}
