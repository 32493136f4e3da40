package recordset

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

func equal(a, b int) bool { return a == b }

// store is what a set is a copy of.
type store struct {
	at      uint64
	records map[string]Record[int]
	log     []Change[int]
}

func (s *store) step(rng *rand.Rand) {
	s.at++
	if rng.IntN(4) == 0 {
		s.at += uint64(rng.IntN(3)) // changes under other prefixes
	}
	key := fmt.Sprintf("k%02d", rng.IntN(30))
	if _, have := s.records[key]; have && rng.IntN(3) == 0 {
		delete(s.records, key)
		s.log = append(s.log, Change[int]{Key: key, Version: s.at, Deleted: true})
		return
	}
	s.records[key] = Record[int]{s.at, rng.IntN(1000)}
	s.log = append(s.log, Change[int]{Key: key, Version: s.at, Value: s.records[key].Value})
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
	p := Sample[int]{From: from, Revision: s.at}
	for _, k := range keys[:min(size, len(keys))] {
		p.Records = append(p.Records, Change[int]{Key: k, Version: s.records[k].Version, Value: s.records[k].Value})
	}
	if len(keys) > size {
		p.Last = keys[size-1]
	}
	return p
}

// A set that follows the store comes to what it holds: through listings whose pages were
// read while it changed, changes that come twice, and answers that come late. A gap is
// seen, samples agree, and each wrong record is found within one round of samples.
func TestReplicaFollowsTheRecords(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &store{records: map[string]Record[int]{}, at: 1}
		for range rng.IntN(60) {
			s.step(rng)
		}
		var set Set[int]
		if set.Apply(0, s.at, s.log, func(Change[int]) {}) {
			t.Fatalf("seed %d: an empty set follows", seed)
		}
		// Two pages, with changes between them.
		first, from := s.page("", 8), s.at
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
			case 0: // an old answer once more
				after = max(1, after-min(after-1, uint64(rng.IntN(5))))
			case 1: // changes are missing
				if set.Apply(after+1, s.at+9, s.after(after+1), applied) {
					t.Fatalf("seed %d: a gap was not seen", seed)
				}
			}
			if !set.Apply(after, s.at, s.after(after), applied) {
				t.Fatalf("seed %d: changes that join were refused", seed)
			}
			if !maps.Equal(set.records, s.records) || set.Revision() != s.at {
				t.Fatalf("seed %d: the set is %v at %d, the store %v at %d", seed, set.records, set.Revision(), s.records, s.at)
			}
			for k, r := range s.records {
				if seen[k] != r.Value || len(seen) != len(s.records) {
					t.Fatalf("seed %d: the changes applied come to %v", seed, seen)
				}
			}
			for range rng.IntN(3) {
				s.step(rng)
			}
			if sample != nil && rng.IntN(2) == 0 {
				if keys, ok := set.Mismatches(*sample, equal); !ok || len(keys) > 0 {
					t.Fatalf("seed %d: %v differ (%v)", seed, keys, ok)
				}
				sample = nil
			}
		}
		set.Apply(set.Revision(), s.at, s.after(set.Revision()), applied)
		if len(s.records) == 0 {
			continue
		}
		// One record wrong: another value, another version, missing, or too many.
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
			if _, ok := (&Set[int]{revision: s.at - 1}).Mismatches(p, equal); ok {
				t.Fatalf("seed %d: compared before the sample's revision", seed)
			}
			keys, _ := set.Mismatches(p, equal)
			found = append(found, keys...)
			if last = p.Last; last == "" {
				break
			}
		}
		if !slices.Equal(found, []string{key}) {
			t.Fatalf("seed %d: %s is wrong, %v were found", seed, key, found)
		}
	}
}
