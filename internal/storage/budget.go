package storage

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/settings"
)

const (
	// minGrantedShare is the fraction of the limit below which refusals do not lower the granted
	// rate, if no limit is announced.
	minGrantedShare = 0.25
	// refusalFactor multiplies the granted rate after a refusal. Without refusals, the rate
	// recovers by recoveryRate, a fraction of the limit, each second.
	refusalFactor = 0.9
	recoveryRate  = 0.01
	// equalShare is the fraction of the limit that is divided evenly among the controllers,
	// demandShare the fraction that is divided in proportion to demand. Their sum is above 1
	// since controllers rarely use their whole shares; the state store refuses the excess.
	equalShare  = 0.4
	demandShare = 0.7
	// recordShare is the fraction of a controller's write rate that the records of leaders may
	// use. The rest is left for user requests.
	recordShare = 0.8
	// demandPeriod is the averaging period of the demand.
	demandPeriod = 2 * time.Second
)

// writeBudget is this controller's share of the state store's write rate. Most of the rate is
// divided by demand, since the load may be concentrated on one controller. The rest is divided
// evenly, so that each controller has a minimum that does not depend on reports of the others.
type writeBudget struct {
	limit       float64 // changes per second
	controllers float64
	// minGranted is the lower bound of granted: the lower of the present and the announced limit,
	// or a fraction of the present limit if none is announced.
	minGranted float64
	requested  atomic.Int64 // total of changes requested
	waiting    atomic.Int64 // changes that are waiting for budget
	refused    atomic.Int64 // total of transactions refused by the state store's rate limit

	// The fields below belong to the goroutine that calls WriteDemand and ShareWriteRate.
	granted       float64   // estimated write rate that the state store accepts, in changes per second
	grantedAt     time.Time // time of the last update of granted
	refusedSeen   int64     // value of refused at grantedAt
	demand        float64   // average of the requested changes per second
	demandAt      time.Time // time of the last update of demand
	requestedSeen int64     // value of requested at demandAt
}

func (b *writeBudget) init(limits settings.StateStoreLimits, count int) {
	b.limit, b.granted, b.controllers = limits.WriteRPS, limits.WriteRPS, float64(count)
	b.minGranted = minGrantedShare * limits.WriteRPS
	if next := limits.Next.WriteRPS; next != nil {
		b.minGranted = min(limits.WriteRPS, *next)
	}
}

// GrantedWriteRate returns this controller's current share of the write rate, in changes per second.
func (s *Store) GrantedWriteRate() float64 { return float64(s.writes.Limit()) }

// WriteDemand returns this controller's demand for writes in changes per second: the recent average
// of requested changes, plus those that are waiting for budget. It must be called by a single
// goroutine, several times a second.
func (s *Store) WriteDemand(now time.Time) float64 {
	b := &s.budget
	if b.demandAt.IsZero() {
		b.demandAt = now
	}
	if elapsed := now.Sub(b.demandAt); elapsed > 0 {
		requested := b.requested.Load()
		weight := min(1, elapsed.Seconds()/demandPeriod.Seconds())
		b.demand += weight * (float64(requested-b.requestedSeen)/elapsed.Seconds() - b.demand)
		b.requestedSeen, b.demandAt = requested, now
	}
	return b.demand + float64(b.waiting.Load())
}

// adaptRate adapts the granted rate to refusals: the state store's limit may fall at any time,
// announced or not, and only refusals reveal it.
func (b *writeBudget) adaptRate(now time.Time) {
	switch refused := b.refused.Load(); {
	case refused != b.refusedSeen:
		b.granted = max(b.minGranted, b.granted*refusalFactor)
		b.refusedSeen = refused
	case !b.grantedAt.IsZero():
		b.granted = min(b.limit, b.granted+recoveryRate*b.limit*now.Sub(b.grantedAt).Seconds())
	}
	b.grantedAt = now
}

// ShareWriteRate sets this controller's share of the write rate. own is its demand and total that of
// all controllers, both in changes per second.
func (s *Store) ShareWriteRate(own, total float64) {
	b := &s.budget
	b.adaptRate(time.Now())
	share := equalShare / b.controllers
	if total > 0 {
		share += demandShare * own / total
	}
	s.writes.SetLimit(rate.Limit(share * b.granted))
	s.records.SetLimit(rate.Limit(recordShare * share * b.granted))
}
