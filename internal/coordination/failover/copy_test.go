package failover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// same compares the values of two records.
func same(a, b int) bool { return a == b }

// store is the state store that a replica follows.
type store struct {
	at      uint64
	records map[string]Record[int]
	log     []Change[int]
}

// step changes or deletes a random record.
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

// after returns the changes after a revision.
func (s *store) after(rev uint64) (out []Change[int]) {
	for _, ch := range s.log {
		if ch.Version > rev {
			out = append(out, ch)
		}
	}
	return out
}

// page returns a sample of records after a key.
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

// A replica that follows the records equals the store: through listings whose pages were read
// while it changed, changes that arrive twice, and responses that arrive late. A gap is detected,
// samples agree, and each wrong record is found within one round of samples.
func TestReplicaFollowsTheRecords(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &store{records: map[string]Record[int]{}, at: 1}
		for range rng.IntN(60) {
			s.step(rng)
		}
		var c Replica[int]
		if c.Apply(0, s.at, s.log, func(Change[int]) {}) {
			t.Fatalf("seed %d: an empty replica accepts changes", seed)
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
		apply := func(ch Change[int]) {
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
			case 0: // an old response again
				after = max(1, after-min(after-1, uint64(rng.IntN(5))))
			case 1: // changes are missing
				if c.Apply(after+1, s.at+9, s.after(after+1), apply) {
					t.Fatalf("seed %d: a gap was not detected", seed)
				}
			}
			if !c.Apply(after, s.at, s.after(after), apply) {
				t.Fatalf("seed %d: consecutive changes were refused", seed)
			}
			if !maps.Equal(c.records, s.records) || c.Revision() != s.at {
				t.Fatalf("seed %d: the replica is %v at %d, the store %v at %d", seed, c.records, c.Revision(), s.records, s.at)
			}
			for k, r := range s.records {
				if seen[k] != r.Value || len(seen) != len(s.records) {
					t.Fatalf("seed %d: the reported changes add up to %v", seed, seen)
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
		c.Apply(c.Revision(), s.at, s.after(c.Revision()), apply)
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

// The standby is kept unless another is far better.
func TestKeep(t *testing.T) {
	all := []Candidate{{"n1", "b", 100, 1}, {"n2", "b", 300, 1}, {"n3", "a", 10, 1}, {"n4", "b", 240, 1}}
	for now, want := range map[string]string{
		"":   "n1", // the best
		"n4": "n4", // leads more machines, but not far more
		"n2": "n1", // leads far more machines
		"n3": "n1", // in the leader's zone
		"n9": "n1", // gone
		"n0": "n1", // the leader itself
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

// Lag reports a replica that falls behind once, until it has caught up.
func TestLag(t *testing.T) {
	var l Lag
	for i, c := range []struct {
		s                float64
		reported, behind bool
	}{{1, false, false}, {5.1, true, true}, {9, false, true}, {4, false, true}, {2.5, true, false}, {4, false, false}, {6, true, true}} {
		if reported, behind := l.Changed(c.s, 5); reported != c.reported || behind != c.behind {
			t.Errorf("%d: reported %v behind %v", i, reported, behind)
		}
	}
}
