package admission

import (
	"errors"
	"maps"
	"sync"
)

// Ledger shares an amount that is held for a while: places of waiting actions, say.
// Each team has a quota by its weight. Beyond it a team borrows what others leave,
// down to a part of what they have not used of theirs, so that who comes later
// finds some of his own at once.
type Ledger struct {
	total float64
	// perClient is the most that a client may hold; 0 is no bound.
	perClient float64
	// weights are those of all teams that there are, weightSum their sum.
	weights   map[string]float64
	weightSum float64

	mu       sync.Mutex
	held     float64
	byTeam   map[string]float64
	byClient map[teamClient]float64
}

// teamClient is a client of a team.
type teamClient struct{ team, client string }

// unborrowable is the part of what others have not used that nobody borrows.
const unborrowable = 0.25

// NewLedger makes one of a total amount and a most for each client. Teams are all
// that there are.
func NewLedger(total, perClient float64, teams []string, weights map[string]float64) (*Ledger, error) {
	switch {
	case !(total > 0):
		return nil, errors.New("the amount must be above 0")
	case perClient < 0:
		return nil, errors.New("the most of a client must not be below 0")
	}
	if err := checkWeights(weights); err != nil {
		return nil, err
	}
	l := &Ledger{total: total, perClient: perClient, weights: map[string]float64{}, byTeam: map[string]float64{}, byClient: map[teamClient]float64{}}
	for _, team := range teams {
		if _, known := l.weights[team]; !known {
			l.weights[team] = weight(weights, team)
			l.weightSum += l.weights[team]
		}
	}
	return l, nil
}

// Quota is what a team has without borrowing.
func (l *Ledger) Quota(team string) float64 {
	if l.weightSum == 0 {
		return 0
	}
	return l.total * l.weights[team] / l.weightSum
}

// Acquire takes an amount and reports whether it could. What was taken is given back with Give.
func (l *Ledger) Acquire(team, client string, amount float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := teamClient{team, client}
	if l.held+amount > l.total || l.perClient > 0 && l.byClient[key]+amount > l.perClient {
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

// mayBorrow reports whether enough is left for the other teams if a team takes an amount.
func (l *Ledger) mayBorrow(team string, amount float64) bool {
	unused := 0.0
	for other := range l.weights {
		if other != team {
			unused += max(0, l.Quota(other)-l.byTeam[other])
		}
	}
	return l.total-l.held-amount >= unused*unborrowable
}

// Release gives back what was taken.
func (l *Ledger) Release(team, client string, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := teamClient{team, client}
	l.byTeam[team] -= amount
	l.held -= amount
	if l.byClient[key] -= amount; l.byClient[key] <= 0 {
		delete(l.byClient, key)
	}
}

// Held is what each team holds.
func (l *Ledger) Held() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byTeam)
}
