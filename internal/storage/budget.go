package storage

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/settings"
)

// budget is this controller's share of the changes that the state service
// takes each second. The load may lie on one controller alone, so the share
// follows what each of them wants; a floor is left to everybody, which does not
// depend on what others say.
type budget struct {
	limit       float64
	controllers float64
	// least is what the limit is taken for at the least, however much the
	// service refuses: the announced limit, or a share of the present one.
	least   float64
	wanted  atomic.Int64 // changes asked for so far
	waiting atomic.Int64 // changes that wait for budget now
	refused atomic.Int64 // transactions refused for their number so far

	// Used by whoever calls Demand and ShareWrites.
	granted   float64 // what the service seems to grant, up to the limit
	refusals  int64
	grantedAt time.Time
	seen      int64
	seenAt    time.Time
	rate      float64
}

func (b *budget) init(limits settings.State, count int) {
	b.limit, b.granted, b.controllers = limits.WriteRPS, limits.WriteRPS, float64(count)
	b.least = leastShare * limits.WriteRPS
	if next := limits.Next.WriteRPS; next != nil {
		b.least = min(limits.WriteRPS, *next)
	}
}

const (
	// leastShare of the limit is still tried when it falls unannounced.
	leastShare = 0.25
	// backOff is what a refusal leaves of the rate, growBack the share of the
	// limit that comes back each second without one.
	backOff  = 0.9
	growBack = 0.01
	// floorShare of the limit is split evenly, poolShare by demand. Together
	// they exceed the limit a little, since hardly ever all of it is used; the
	// service refuses what is too much.
	floorShare = 0.4
	poolShare  = 0.7
	// recordShare is the part of the budget that records of owners may use, so
	// that users always find some left.
	recordShare = 0.8
	// demandMemory is how long past demand counts.
	demandMemory = 2 * time.Second
)

// WriteDemand is how many changes a second this controller wants: what it asked for
// of late, and what waits. One goroutine calls it, several times a second.
func (s *Store) WriteDemand(now time.Time) float64 {
	b := &s.budget
	if b.seenAt.IsZero() {
		b.seenAt = now
	}
	if dt := now.Sub(b.seenAt); dt > 0 {
		wanted := b.wanted.Load()
		weight := min(1, dt.Seconds()/demandMemory.Seconds())
		b.rate += weight * (float64(wanted-b.seen)/dt.Seconds() - b.rate)
		b.seen, b.seenAt = wanted, now
	}
	return b.rate + float64(b.waiting.Load())
}

// follow adapts the rate to what the service grants: the limit may fall at any
// moment, announced or not, and refusals are all that tells.
func (b *budget) follow(now time.Time) {
	switch refused := b.refused.Load(); {
	case refused != b.refusals:
		b.granted = max(b.least, b.granted*backOff)
		b.refusals = refused
	case !b.grantedAt.IsZero():
		b.granted = min(b.limit, b.granted+growBack*b.limit*now.Sub(b.grantedAt).Seconds())
	}
	b.grantedAt = now
}

// ShareWriteRate sets the share of a controller that wants own of total changes.
func (s *Store) ShareWriteRate(own, total float64) {
	b := &s.budget
	b.follow(time.Now())
	share := floorShare / b.controllers
	if total > 0 {
		share += poolShare * own / total
	}
	s.writes.SetLimit(rate.Limit(share * b.granted))
	s.records.SetLimit(rate.Limit(recordShare * share * b.granted))
}
