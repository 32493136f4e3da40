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
	mu      sync.Mutex
	most    float64
	each    float64 // of one client; 0: no bound
	weights map[string]float64
	sum     float64 // of the weights of the teams that are known
	held    map[string]float64
	clients map[[2]string]float64
	all     float64
}

// kept is the part of what others have not used that nobody borrows.
const kept = 0.25

// NewLedger makes one of a total amount and a most for each client. Teams are all
// that there are.
func NewLedger(most, each float64, teams []string, weights map[string]float64) (*Ledger, error) {
	switch {
	case !(most > 0):
		return nil, errors.New("the amount must be above 0")
	case each < 0:
		return nil, errors.New("the most of a client must not be below 0")
	}
	if err := checkWeights(weights); err != nil {
		return nil, err
	}
	l := &Ledger{most: most, each: each, weights: map[string]float64{}, held: map[string]float64{}, clients: map[[2]string]float64{}}
	for _, t := range teams {
		if _, twice := l.weights[t]; !twice {
			l.weights[t] = weight(weights, t)
			l.sum += l.weights[t]
		}
	}
	return l, nil
}

// Quota is what a team has without borrowing.
func (l *Ledger) Quota(team string) float64 {
	if l.sum == 0 {
		return 0
	}
	return l.most * l.weights[team] / l.sum
}

// Acquire takes an amount or says no. What was taken is given back with Give.
func (l *Ledger) Acquire(team, client string, n float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{team, client}
	switch {
	case l.all+n > l.most, l.each > 0 && l.clients[key]+n > l.each:
		return false
	case l.held[team]+n > l.Quota(team):
		spare := 0.0
		for t := range l.weights {
			if t != team {
				spare += max(0, l.Quota(t)-l.held[t])
			}
		}
		if l.most-l.all-n < spare*kept {
			return false
		}
	}
	l.held[team] += n
	l.clients[key] += n
	l.all += n
	return true
}

// Release gives back.
func (l *Ledger) Release(team, client string, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{team, client}
	l.held[team] -= n
	l.all -= n
	if l.clients[key] -= n; l.clients[key] <= 0 {
		delete(l.clients, key)
	}
}

// Held is what each team holds.
func (l *Ledger) Held() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.held)
}
