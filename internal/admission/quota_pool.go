package admission

import (
	"errors"
	"maps"
	"sync"
)

// QuotaPool shares a fixed amount of a resource among teams, for example the slots of waiting
// actions. Each team has a quota in proportion to its weight and may borrow what others do not use.
// A part of each unused quota is never lent, so that its team can use that part without waiting for
// a release.
type QuotaPool struct {
	total float64
	// clientLimit bounds the amount that one client holds; 0 means no bound.
	clientLimit float64
	// weights are the weights of all teams, weightSum their sum.
	weights   map[string]float64
	weightSum float64

	mu       sync.Mutex
	held     float64
	byTeam   map[string]float64
	byClient map[teamClient]float64
}

// teamClient is a client of a team.
type teamClient struct{ team, client string }

// unborrowableShare is the part of the other teams' unused quota that a team cannot borrow.
const unborrowableShare = 0.25

// NewQuotaPool shares a total amount among teams. perClient bounds the amount that one client
// holds; 0 means no bound. Only the given teams have a quota.
func NewQuotaPool(total, perClient float64, teams []string, weights map[string]float64) (*QuotaPool, error) {
	switch {
	case !(total > 0):
		return nil, errors.New("total amount must be above 0")
	case perClient < 0:
		return nil, errors.New("limit per client must not be below 0")
	}
	if err := checkWeights(weights); err != nil {
		return nil, err
	}
	l := &QuotaPool{total: total, clientLimit: perClient, weights: map[string]float64{}, byTeam: map[string]float64{}, byClient: map[teamClient]float64{}}
	for _, team := range teams {
		if _, known := l.weights[team]; !known {
			l.weights[team] = weight(weights, team)
			l.weightSum += l.weights[team]
		}
	}
	return l, nil
}

// Quota returns the amount that a team may hold without borrowing.
func (l *QuotaPool) Quota(team string) float64 {
	if l.weightSum == 0 {
		return 0
	}
	return l.total * l.weights[team] / l.weightSum
}

// Acquire takes an amount if that is within the limits, and reports whether it did. The caller
// returns the amount with Release.
func (l *QuotaPool) Acquire(team, client string, amount float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := teamClient{team, client}
	if l.held+amount > l.total || l.clientLimit > 0 && l.byClient[key]+amount > l.clientLimit {
		return false
	}
	if l.byTeam[team]+amount > l.Quota(team) && !l.mayBorrow(team, amount) {
		return false
	}
	l.byTeam[team] += amount
	l.byClient[key] += amount
	l.held += amount
	return true
}

// mayBorrow reports whether a team may take an amount beyond its quota: enough of the other teams'
// unused quota must remain.
func (l *QuotaPool) mayBorrow(team string, amount float64) bool {
	unused := 0.0
	for other := range l.weights {
		if other != team {
			unused += max(0, l.Quota(other)-l.byTeam[other])
		}
	}
	return l.total-l.held-amount >= unused*unborrowableShare
}

// Release returns an amount taken with Acquire.
func (l *QuotaPool) Release(team, client string, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := teamClient{team, client}
	l.byTeam[team] -= amount
	l.held -= amount
	if l.byClient[key] -= amount; l.byClient[key] <= 0 {
		delete(l.byClient, key)
	}
}

// Held returns the amount that each team holds.
func (l *QuotaPool) Held() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byTeam)
}
