package bookkeeping

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// budget is this controller's share of the changes that the state service
// takes each second. The load may lie on one controller alone, so the share
// follows what each of them wants; a floor is left to everybody, which does not
// depend on what others say.
type budget struct {
	limit       float64
	controllers float64
	wanted      atomic.Int64 // changes asked for so far
	waiting     atomic.Int64 // changes that wait for budget now

	// Used by whoever calls Demand.
	seen   int64
	seenAt time.Time
	rate   float64
}

const (
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

// Demand is how many changes a second this controller wants: what it asked for
// of late, and what waits. One goroutine calls it, several times a second.
func (s *Store) Demand(now time.Time) float64 {
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

// ShareWrites sets the share of a controller that wants own of total changes.
func (s *Store) ShareWrites(own, total float64) {
	b := &s.budget
	share := floorShare / b.controllers
	if total > 0 {
		share += poolShare * own / total
	}
	s.writes.SetLimit(rate.Limit(share * b.limit))
	s.records.SetLimit(rate.Limit(recordShare * share * b.limit))
}
