package recordset

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

func equal(a, b int) bool { return a == b }

// store is the state store that a set copies.
type store struct {
	revision uint64
	records  map[string]Record[int]
	log      []Change[int]
}

func (s *store) step(rng *rand.Rand) {
	s.revision++
	if rng.IntN(4) == 0 {
		s.revision += uint64(rng.IntN(3)) // changes under other prefixes
	}
	key := fmt.Sprintf("k%02d", rng.IntN(30))
	if _, have := s.records[key]; have && rng.IntN(3) == 0 {
		delete(s.records, key)
		s.log = append(s.log, Change[int]{Key: key, Version: s.revision, Deleted: true})
		return
	}
	s.records[key] = Record[int]{s.revision, rng.IntN(1000)}
	s.log = append(s.log, Change[int]{Key: key, Version: s.revision, Value: s.records[key].Value})
}

func (s *store) after(rev uint64) (out []Change[int]) {
	for _, ch := range s.log {
		if ch.Version > rev {
			out = append(out, ch)
		}
	}
	return out
}

func (s *store) page(from string, size int) Sample[int] {
	keys := slices.DeleteFunc(slices.Sorted(maps.Keys(s.records)), func(k string) bool { return k <= from })
	p := Sample[int]{After: from, Revision: s.revision}
	for _, k := range keys[:min(size, len(keys))] {
		p.Records = append(p.Records, Change[int]{Key: k, Version: s.records[k].Version, Value: s.records[k].Value})
	}
	if len(keys) > size {
		p.Last = keys[size-1]
	}
	return p
}

// A set stays equal to the store although the store changes between the pages of a listing and
// although changes arrive twice or late. Gaps are detected, samples agree with the set, and one
// round of samples finds a wrong record.
func TestReplicaFollowsTheRecords(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &store{records: map[string]Record[int]{}, revision: 1}
		for range rng.IntN(60) {
			s.step(rng)
		}
		var set Set[int]
		if set.Apply(0, s.revision, s.log, func(Change[int]) {}) {
			t.Fatalf("seed %d: changes were applied to a set without a listing", seed)
		}
		// Two pages, with changes between them.
		first, from := s.page("", 8), s.revision
		for range rng.IntN(10) {
			s.step(rng)
		}
		all := first.Records
		if first.Last != "" {
			all = append(all, s.page(first.Last, 100).Records...)
		}
		set.StartFrom(all, from)
		seen := map[string]int{}
		for _, ch := range all {
			seen[ch.Key] = ch.Value
		}
		applied := func(ch Change[int]) {
			if delete(seen, ch.Key); !ch.Deleted {
				seen[ch.Key] = ch.Value
			}
		}
		var sample *Sample[int]
		cursor := ""
		for range 40 {
			for range rng.IntN(6) {
				s.step(rng)
			}
			if sample == nil && rng.IntN(2) == 0 {
				p := s.page(cursor, 5)
				sample, cursor = &p, p.Last
			}
			after := set.Revision()
			switch rng.IntN(4) {
			case 0: // repeated changes
				after = max(1, after-min(after-1, uint64(rng.IntN(5))))
			case 1: // a gap before the changes
				if set.Apply(after+1, s.revision+9, s.after(after+1), applied) {
					t.Fatalf("seed %d: changes after a gap were applied", seed)
				}
			}
			if !set.Apply(after, s.revision, s.after(after), applied) {
				t.Fatalf("seed %d: changes without a gap were refused", seed)
			}
			if !maps.Equal(set.records, s.records) || set.Revision() != s.revision {
				t.Fatalf("seed %d: the set is %v at %d, the store %v at %d", seed, set.records, set.Revision(), s.records, s.revision)
			}
			for k, r := range s.records {
				if seen[k] != r.Value || len(seen) != len(s.records) {
					t.Fatalf("seed %d: the changes passed to the callback add up to the values %v, want those of the store's records %v", seed, seen, s.records)
				}
			}
			for range rng.IntN(3) {
				s.step(rng)
			}
			if sample != nil && rng.IntN(2) == 0 {
				if keys, ok := set.Mismatches(*sample, equal); !ok || len(keys) > 0 {
					t.Fatalf("seed %d: Mismatches() of a correct set = %v, %v, want none, true", seed, keys, ok)
				}
				sample = nil
			}
		}
		set.Apply(set.Revision(), s.revision, s.after(set.Revision()), applied)
		if len(s.records) == 0 {
			continue
		}
		// One record is wrong: another value, another version, missing, or extra.
		key := slices.Sorted(maps.Keys(s.records))[rng.IntN(len(s.records))]
		switch r := set.records[key]; rng.IntN(4) {
		case 0:
			set.records[key] = Record[int]{r.Version, r.Value + 1}
		case 1:
			set.records[key] = Record[int]{r.Version - 1, r.Value}
		case 2:
			delete(set.records, key)
		case 3:
			key += "x"
			set.records[key] = Record[int]{1, 1}
		}
		found, last := []string{}, ""
		for {
			p := s.page(last, 5)
			if _, ok := (&Set[int]{revision: s.revision - 1}).Mismatches(p, equal); ok {
				t.Fatalf("seed %d: Mismatches() compared a set that is older than the sample", seed)
			}
			keys, _ := set.Mismatches(p, equal)
			found = append(found, keys...)
			if last = p.Last; last == "" {
				break
			}
		}
		if !slices.Equal(found, []string{key}) {
			t.Fatalf("seed %d: mismatches %v in all samples, want only record %s", seed, found, key)
		}
	}
}
