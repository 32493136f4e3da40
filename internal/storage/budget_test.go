package storage

import (
	"math"
	"testing"
	"time"

	"micaspindle/internal/settings"
)

// The budget must follow the load: where one controller has all of it, a fixed
// fifth keeps its starts waiting while the rest goes unused.
func TestWritesAreSharedByDemand(t *testing.T) {
	s := NewStore(nil, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	for _, tc := range []struct{ own, total, want float64 }{
		{1, 5, 25 * 1.1 / 5}, // even
		{10, 10, 25 * 0.78},  // all of it
		{0, 10, 25 * 0.08},   // the floor
		{0, 0, 25 * 0.08},
	} {
		s.ShareWriteRate(tc.own, tc.total)
		if got := float64(s.writes.Limit()); math.Abs(got-tc.want) > 1e-6 {
			t.Errorf("%v of %v: %v writes a second, want %v", tc.own, tc.total, got, tc.want)
		}
		if s.records.Limit() >= s.writes.Limit() {
			t.Error("records leave nothing to users")
		}
	}
}

func TestDemandFollowsWhatIsAskedFor(t *testing.T) {
	s := NewStore(nil, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	now := time.Now()
	s.WriteDemand(now)
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		s.budget.wanted.Add(5)
		s.WriteDemand(now)
	}
	if d := s.WriteDemand(now); math.Abs(d-20) > 1 {
		t.Errorf("demand %v after 20 a second", d)
	}
	s.budget.waiting.Add(7)
	if d := s.WriteDemand(now); d < 26 {
		t.Errorf("demand %v leaves out what waits", d)
	}
}

// The limit may fall at a moment that nobody tells: use all of it before, and
// what refusals leave after, but not less than was announced.
func TestRateFollowsRefusals(t *testing.T) {
	next := 15.0
	limits := settings.StateStoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12, Next: settings.AnnouncedLimits{WriteRPS: &next}}
	s := NewStore(nil, "state:1", limits, 3)
	now := time.Now()
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		s.budget.follow(now)
	}
	if s.budget.granted != 20 {
		t.Errorf("%v before any refusal", s.budget.granted)
	}
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		s.budget.refused.Add(1)
		s.budget.follow(now)
	}
	if s.budget.granted != 15 {
		t.Errorf("%v after refusals, announced are 15", s.budget.granted)
	}
	for range 400 {
		now = now.Add(250 * time.Millisecond)
		s.budget.follow(now)
	}
	if s.budget.granted != 20 {
		t.Errorf("%v long after: a refusal may have had another cause", s.budget.granted)
	}
	if s.TxnOps() != 12 || s.ValueBytes() != 8192 {
		t.Error("sizes that were not announced have changed")
	}
}
