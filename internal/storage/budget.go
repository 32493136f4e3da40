package storage

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/settings"
)

const (
	// minGrantedShare of the limit is still tried when the limit falls unannounced.
	minGrantedShare = 0.25
	// refusalFactor is what a refusal leaves of the rate; recoveryRate is the share of the
	// limit that comes back each second without one.
	refusalFactor = 0.9
	recoveryRate  = 0.01
	// equalShare of the limit is split evenly, demandShare by demand. Together they exceed the
	// limit a little, since hardly ever all of it is used; the state store refuses what is
	// too much.
	equalShare  = 0.4
	demandShare = 0.7
	// recordShare is the part of the budget that records of leaders may use, so that users
	// always find some left.
	recordShare = 0.8
	// demandMemory is how long past demand counts.
	demandMemory = 2 * time.Second
)

// writeBudget is this controller's share of the changes that the state store takes each second.
// The load may lie on one controller alone, so the share follows what each of them wants; an
// equal part is left to everybody, which does not depend on what others say.
type writeBudget struct {
	limit       float64 // changes a second
	controllers float64
	// minGranted is what the limit is taken for at the least, however much the state store
	// refuses: the announced limit, or a share of the present one.
	minGranted float64
	wanted     atomic.Int64 // changes asked for so far
	waiting    atomic.Int64 // changes that wait for budget now
	refused    atomic.Int64 // transactions refused for their number so far

	// Used by whoever calls WriteDemand and ShareWriteRate.
	granted      float64   // changes a second that the state store seems to take, up to the limit
	grantedAt    time.Time // when granted was last adapted
	refusedSeen  int64     // refused as of then
	demand       float64   // changes a second
	demandAt     time.Time // when demand was last adapted
	demandWanted int64     // wanted as of then
}

func (b *writeBudget) init(limits settings.StateStoreLimits, count int) {
	b.limit, b.granted, b.controllers = limits.WriteRPS, limits.WriteRPS, float64(count)
	b.minGranted = minGrantedShare * limits.WriteRPS
	if next := limits.Next.WriteRPS; next != nil {
		b.minGranted = min(limits.WriteRPS, *next)
	}
}

// GrantedWriteRate is how many changes a second this controller may write now.
func (s *Store) GrantedWriteRate() float64 { return float64(s.writes.Limit()) }

// WriteDemand is how many changes a second this controller wants: what it asked for of late, and
// what waits. One goroutine calls it, several times a second.
func (s *Store) WriteDemand(now time.Time) float64 {
	b := &s.budget
	if b.demandAt.IsZero() {
		b.demandAt = now
	}
	if elapsed := now.Sub(b.demandAt); elapsed > 0 {
		wanted := b.wanted.Load()
		weight := min(1, elapsed.Seconds()/demandMemory.Seconds())
		b.demand += weight * (float64(wanted-b.demandWanted)/elapsed.Seconds() - b.demand)
		b.demandWanted, b.demandAt = wanted, now
	}
	return b.demand + float64(b.waiting.Load())
}

// follow adapts the rate to what the state store takes: the limit may fall at any moment,
// announced or not, and only refusals show it.
func (b *writeBudget) follow(now time.Time) {
	switch refused := b.refused.Load(); {
	case refused != b.refusedSeen:
		b.granted = max(b.minGranted, b.granted*refusalFactor)
		b.refusedSeen = refused
	case !b.grantedAt.IsZero():
		b.granted = min(b.limit, b.granted+recoveryRate*b.limit*now.Sub(b.grantedAt).Seconds())
	}
	b.grantedAt = now
}

// ShareWriteRate sets the share of a controller that wants own of total changes a second.
func (s *Store) ShareWriteRate(own, total float64) {
	b := &s.budget
	b.follow(time.Now())
	share := equalShare / b.controllers
	if total > 0 {
		share += demandShare * own / total
	}
	s.writes.SetLimit(rate.Limit(share * b.granted))
	s.records.SetLimit(rate.Limit(recordShare * share * b.granted))
}
