package failover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

func same(a, b int) bool { return a == b }

// store is what a copy is a copy of.
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

// A copy that follows comes to what the store holds: through listings whose pages were
// read while it changed, changes that come twice, and answers that come late. A gap is
// seen, samples agree, and each wrong record is found within one round of samples.
func TestReplicaFollowsTheRecords(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &store{records: map[string]Record[int]{}, at: 1}
		for range rng.IntN(60) {
			s.step(rng)
		}
		var c Replica[int]
		if c.Apply(0, s.at, s.log, func(Change[int]) {}) {
			t.Fatalf("seed %d: an empty copy follows", seed)
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
		c.StartFrom(all, from)
		seen := map[string]int{}
		for _, ch := range all {
			seen[ch.Key] = ch.Value
		}
		took := func(ch Change[int]) {
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
			after := c.Revision()
			switch rng.IntN(4) {
			case 0: // an old answer once more
				after = max(1, after-min(after-1, uint64(rng.IntN(5))))
			case 1: // changes are missing
				if c.Apply(after+1, s.at+9, s.after(after+1), took) {
					t.Fatalf("seed %d: a gap was not seen", seed)
				}
			}
			if !c.Apply(after, s.at, s.after(after), took) {
				t.Fatalf("seed %d: changes that join were refused", seed)
			}
			if !maps.Equal(c.records, s.records) || c.Revision() != s.at {
				t.Fatalf("seed %d: the copy is %v at %d, the store %v at %d", seed, c.records, c.Revision(), s.records, s.at)
			}
			for k, r := range s.records {
				if seen[k] != r.Value || len(seen) != len(s.records) {
					t.Fatalf("seed %d: what was told of changes comes to %v", seed, seen)
				}
			}
			for range rng.IntN(3) {
				s.step(rng)
			}
			if sample != nil && rng.IntN(2) == 0 {
				if keys, ok := c.Mismatches(*sample, same); !ok || len(keys) > 0 {
					t.Fatalf("seed %d: %v differ (%v)", seed, keys, ok)
				}
				sample = nil
			}
		}
		c.Apply(c.Revision(), s.at, s.after(c.Revision()), took)
		if len(s.records) == 0 {
			continue
		}
		// One record wrong: another value, another version, missing, or too many.
		key := slices.Sorted(maps.Keys(s.records))[rng.IntN(len(s.records))]
		switch r := c.records[key]; rng.IntN(4) {
		case 0:
			c.records[key] = Record[int]{r.Version, r.Value + 1}
		case 1:
			c.records[key] = Record[int]{r.Version - 1, r.Value}
		case 2:
			delete(c.records, key)
		case 3:
			key += "x"
			c.records[key] = Record[int]{1, 1}
		}
		found, last := []string{}, ""
		for {
			p := s.page(last, 5)
			if _, ok := (&Replica[int]{revision: s.at - 1}).Mismatches(p, same); ok {
				t.Fatalf("seed %d: compared before the sample's revision", seed)
			}
			keys, _ := c.Mismatches(p, same)
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

func TestKeep(t *testing.T) {
	all := []Candidate{{"n1", "b", 100, 1}, {"n2", "b", 300, 1}, {"n3", "a", 10, 1}, {"n4", "b", 240, 1}}
	for now, want := range map[string]string{
		"":   "n1", // the best
		"n4": "n4", // carries more, but not far more
		"n2": "n1", // carries far more
		"n3": "n1", // in the owner's zone
		"n9": "n1", // gone
		"n0": "n1", // the owner itself
	} {
		if got := KeepStandby(now, "n0", "a", all); got != want {
			t.Errorf("%q named before: %q, want %q", now, got, want)
		}
	}
	if got := KeepStandby("n3", "n0", "a", all[2:3]); got != "n3" {
		t.Errorf("the only one: %q", got)
	}
	if got := KeepStandby("n1", "n0", "a", nil); got != "" {
		t.Errorf("nobody: %q", got)
	}
}

func TestLag(t *testing.T) {
	var l Lag
	for i, c := range []struct {
		s            float64
		told, behind bool
	}{{1, false, false}, {5.1, true, true}, {9, false, true}, {4, false, true}, {2.5, true, false}, {4, false, false}, {6, true, true}} {
		if told, behind := l.Changed(c.s, 5); told != c.told || behind != c.behind {
			t.Errorf("%d: told %v behind %v", i, told, behind)
		}
	}
}
