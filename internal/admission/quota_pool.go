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
	p := &QuotaPool{total: total, clientLimit: perClient, weights: map[string]float64{}, byTeam: map[string]float64{}, byClient: map[teamClient]float64{}}
	for _, team := range teams {
		if _, known := p.weights[team]; !known {
			p.weights[team] = weight(weights, team)
			p.weightSum += p.weights[team]
		}
	}
	return p, nil
}

// Quota returns the amount that a team may hold without borrowing.
func (p *QuotaPool) Quota(team string) float64 {
	if p.weightSum == 0 {
		return 0
	}
	return p.total * p.weights[team] / p.weightSum
}

// Acquire takes an amount if that is within the limits, and reports whether it did. The caller
// returns the amount with Release.
func (p *QuotaPool) Acquire(team, client string, amount float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := teamClient{team, client}
	if p.held+amount > p.total || p.clientLimit > 0 && p.byClient[key]+amount > p.clientLimit {
		return false
	}
	if p.byTeam[team]+amount > p.Quota(team) && !p.mayBorrow(team, amount) {
		return false
	}
	p.byTeam[team] += amount
	p.byClient[key] += amount
	p.held += amount
	return true
}

// mayBorrow reports whether a team may take an amount beyond its quota: enough of the other teams'
// unused quota must remain.
func (p *QuotaPool) mayBorrow(team string, amount float64) bool {
	unused := 0.0
	for other := range p.weights {
		if other != team {
			unused += max(0, p.Quota(other)-p.byTeam[other])
		}
	}
	return p.total-p.held-amount >= unused*unborrowableShare
}

// Release returns an amount taken with Acquire.
func (p *QuotaPool) Release(team, client string, amount float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := teamClient{team, client}
	p.byTeam[team] -= amount
	p.held -= amount
	if p.byClient[key] -= amount; p.byClient[key] <= 0 {
		delete(p.byClient, key)
	}
}

// Held returns the amount that each team holds.
func (p *QuotaPool) Held() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.byTeam)
}
