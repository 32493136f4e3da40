package storage

import (
	"math"
	"testing"
	"time"

	"micaspindle/internal/settings"
)

// Guards against fixed shares, with which a controller that has all of the load is throttled while
// the other shares are unused.
func TestWritesAreSharedByDemand(t *testing.T) {
	s := NewStore(nil, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	for _, tc := range []struct{ own, total, want float64 }{
		{1, 5, 25 * 1.1 / 5}, // equal demand
		{10, 10, 25 * 0.78},  // all of the demand
		{0, 10, 25 * 0.08},   // no demand
		{0, 0, 25 * 0.08},
	} {
		s.ShareWriteRate(tc.own, tc.total)
		if got := float64(s.writes.Limit()); math.Abs(got-tc.want) > 1e-6 {
			t.Errorf("demand %v of %v: %v writes per second, want %v", tc.own, tc.total, got, tc.want)
		}
		if s.records.Limit() >= s.writes.Limit() {
			t.Error("the rate limit for records is not below the one for all writes")
		}
	}
}

func TestDemandFollowsRequestedWrites(t *testing.T) {
	s := NewStore(nil, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	now := time.Now()
	s.WriteDemand(now)
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		s.budget.requested.Add(5)
		s.WriteDemand(now)
	}
	if d := s.WriteDemand(now); math.Abs(d-20) > 1 {
		t.Errorf("demand is %v, want about 20", d)
	}
	s.budget.waiting.Add(7)
	if d := s.WriteDemand(now); d < 26 {
		t.Errorf("demand is %v with 7 changes waiting, want at least 26", d)
	}
}

// The limit may fall at an unannounced time: the granted rate is the whole limit until refusals show
// the change, and never falls below the announced limit.
func TestGrantedRateFollowsRefusals(t *testing.T) {
	next := 15.0
	limits := settings.StateStoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12, Next: settings.AnnouncedLimits{WriteRPS: &next}}
	s := NewStore(nil, "state:1", limits, 3)
	now := time.Now()
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		s.budget.adaptRate(now)
	}
	if s.budget.granted != 20 {
		t.Errorf("granted rate is %v before any refusal, want 20", s.budget.granted)
	}
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		s.budget.refused.Add(1)
		s.budget.adaptRate(now)
	}
	if s.budget.granted != 15 {
		t.Errorf("granted rate is %v after refusals, want the announced 15", s.budget.granted)
	}
	for range 400 {
		now = now.Add(250 * time.Millisecond)
		s.budget.adaptRate(now)
	}
	if s.budget.granted != 20 {
		t.Errorf("granted rate is %v long after the refusals, want it back at 20", s.budget.granted)
	}
	if s.TxnOps() != 12 || s.ValueBytes() != 8192 {
		t.Error("size limits changed without an announcement")
	}
}
