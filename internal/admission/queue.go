// Package admission shares what a server has among teams by weight, and within a
// team among its clients: places of work, a rate of bytes, amounts that are held.
// Whoever asks for more than fits waits in a bounded queue or is refused at once
// with the time to come back. It knows names and numbers only, no protocol.
package admission

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"
)

// Limits bound a queue.
type Limits struct {
	// Concurrency is how many are let in at a time, PerSecond how much cost a second;
	// 0: without bound.
	Concurrency int
	PerSecond   float64
	// MaxWaiting is how many may wait in all, and Patience for how long each.
	MaxWaiting int
	MaxWait    time.Duration
	// Weights are the shares of teams; one that is not named has 1.
	Weights map[string]float64
}

// Check says what must be mended.
func (l *Limits) Check() error {
	switch {
	case l.Concurrency < 0:
		return errors.New("at_once: must not be below 0")
	case l.PerSecond < 0 || math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0):
		return errors.New("per_second: must be a number and not below 0")
	case l.MaxWaiting < 0:
		return errors.New("waiting: must not be below 0")
	case l.MaxWait < 0:
		return errors.New("patience: must not be below 0")
	}
	return checkWeights(l.Weights)
}

func checkWeights(weights map[string]float64) error {
	for team, w := range weights {
		if !(w > 0) || math.IsInf(w, 0) {
			return fmt.Errorf("weights.%s: %v is no weight; write a number above 0", team, w)
		}
	}
	return nil
}

func weight(weights map[string]float64, team string) float64 {
	if w, ok := weights[team]; ok {
		return w
	}
	return 1
}

// BusyError refuses; it says when to come back.
type BusyError struct {
	RetryAfter time.Duration
	Reason     string
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%s; come back in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}

// Queue lets callers in, by start-time fair queueing on two levels: the team that
// has had least for its weight goes first, in it the client that has had least,
// and each client's callers in the order of their coming. The zero value lets
// everybody in.
type Queue struct {
	limits Limits

	mu      sync.Mutex
	inside  int
	waiting int
	clock   float64 // virtual: the start tag of who was let in last
	teams   map[string]*team
	// paid is until when the rate is used up.
	paid  time.Time
	timer *time.Timer
	// served smooths the time that a place is held, for what is told to those who
	// are refused.
	served  time.Duration
	refused int64
	let     int64
}

type team struct {
	name    string
	weight  float64
	tag     float64 // virtual time up to which it has been served
	clock   float64
	waiting int
	clients map[string]*client
}

type client struct {
	tag   float64
	queue []*waiter
}

type waiter struct {
	team, client string
	cost         float64
	since        time.Time
	// told is closed once err is set or it was let in.
	told chan struct{}
	err  error
	in   bool
}

// New makes a queue.
func New(l Limits) *Queue { return &Queue{limits: l, teams: map[string]*team{}} }

const (
	leastRetry = 50 * time.Millisecond
	mostRetry  = 30 * time.Second
	// firstGuess is how long a place is held until one has been seen.
	firstGuess = 10 * time.Millisecond
	// keep is how many teams and clients that want nothing are remembered.
	keep = 4096
)

// Enter lets a caller in or says why not. What it returns must be called when the
// caller is done; it may be called again.
func (q *Queue) Enter(ctx context.Context, teamName, clientName string, cost float64) (leave func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	q.mu.Lock()
	if q.teams == nil {
		q.teams = map[string]*team{}
	}
	now := time.Now()
	w := &waiter{team: teamName, client: clientName, cost: max(cost, 0), since: now, told: make(chan struct{})}
	if !(q.waiting == 0 && q.free(now)) && !q.room(w) {
		q.refused++
		err := &BusyError{q.retryAfter(teamName), "too many wait"}
		q.mu.Unlock()
		return nil, err
	}
	q.add(w)
	q.serve(now)
	q.mu.Unlock()

	var timeout <-chan time.Time
	if q.limits.MaxWait > 0 {
		t := time.NewTimer(q.limits.MaxWait)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-w.told:
	case <-ctx.Done():
		err = ctx.Err()
	case <-timeout:
		err = &BusyError{Reason: "waited for too long"}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.in { // let in, perhaps in the same moment as it gave up
		leave := q.leaver(time.Now())
		if err != nil && ctx.Err() != nil {
			q.leave(leave)
			return nil, ctx.Err()
		}
		return func() { q.mu.Lock(); defer q.mu.Unlock(); q.leave(leave) }, nil
	}
	if w.err != nil {
		return nil, w.err
	}
	q.remove(w)
	if busy := (*BusyError)(nil); errors.As(err, &busy) {
		q.refused++
		busy.RetryAfter = q.retryAfter(teamName)
	}
	return nil, err
}

// visit is a place that is held.
type visit struct {
	begun time.Time
	over  bool
}

func (q *Queue) leaver(now time.Time) *visit { return &visit{begun: now} }

func (q *Queue) leave(v *visit) {
	if v.over {
		return
	}
	v.over = true
	now := time.Now()
	q.inside--
	q.served += (now.Sub(v.begun) - q.served) / 8
	q.serve(now)
}

// free says whether somebody could be let in now.
func (q *Queue) free(now time.Time) bool {
	return (q.limits.Concurrency == 0 || q.inside < q.limits.Concurrency) && (q.limits.PerSecond == 0 || !q.paid.After(now))
}

// room sees that one more may wait. In a full queue a team that waits with less
// than its share takes the place of the last one of the team that is furthest
// above its own: a flood fills the queue with itself only.
func (q *Queue) room(w *waiter) bool {
	if q.waiting < q.limits.MaxWaiting {
		return true
	}
	if q.limits.MaxWaiting == 0 {
		return false
	}
	mine := float64(1)
	if t := q.teams[w.team]; t != nil {
		mine += float64(t.waiting)
	}
	mine /= weight(q.limits.Weights, w.team)
	var most *team
	for _, t := range q.teams {
		if t.waiting > 0 && (most == nil || share(t) > share(most) || share(t) == share(most) && t.name < most.name) {
			most = t
		}
	}
	if most == nil || most.name == w.team || share(most) <= mine {
		return q.yield(q.teams[w.team], w)
	}
	q.drop(most)
	return true
}

func share(t *team) float64 { return float64(t.waiting) / t.weight }

// yield makes room within a team, whose client that waits with most gives a place
// to one that waits with less.
func (q *Queue) yield(t *team, w *waiter) bool {
	if t == nil {
		return false
	}
	mine, most := 0, 0
	for name, c := range t.clients {
		if name == w.client {
			mine = len(c.queue)
		}
		most = max(most, len(c.queue))
	}
	if most <= mine+1 {
		return false
	}
	q.drop(t)
	return true
}

// drop refuses the last caller of the team's client that waits with most.
func (q *Queue) drop(t *team) {
	name, most := "", (*client)(nil)
	for n, c := range t.clients {
		if len(c.queue) > 0 && (most == nil || len(c.queue) > len(most.queue) || len(c.queue) == len(most.queue) && n < name) {
			name, most = n, c
		}
	}
	last := most.queue[len(most.queue)-1]
	q.remove(last)
	q.refused++
	last.err = &BusyError{q.retryAfter(t.name), "others who wait with less go first"}
	close(last.told)
}

func (q *Queue) add(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		q.forget()
		t = &team{name: w.team, weight: weight(q.limits.Weights, w.team), clients: map[string]*client{}}
		q.teams[w.team] = t
	}
	if t.waiting == 0 {
		t.tag = max(t.tag, q.clock) // what was not asked for is not saved up
	}
	c := t.clients[w.client]
	if c == nil {
		t.forget()
		c = new(client)
		t.clients[w.client] = c
	}
	if len(c.queue) == 0 {
		c.tag = max(c.tag, t.clock)
	}
	c.queue = append(c.queue, w)
	t.waiting++
	q.waiting++
}

func (q *Queue) remove(w *waiter) {
	t := q.teams[w.team]
	c := t.clients[w.client]
	for i, o := range c.queue {
		if o == w {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			t.waiting--
			q.waiting--
			return
		}
	}
}

// forget drops teams that want nothing and have no more than what is coming to
// them, if there are many.
func (q *Queue) forget() {
	if len(q.teams) < keep {
		return
	}
	for name, t := range q.teams {
		if t.waiting == 0 && t.tag <= q.clock {
			delete(q.teams, name)
		}
	}
}

func (t *team) forget() {
	if len(t.clients) < keep {
		return
	}
	for name, c := range t.clients {
		if len(c.queue) == 0 && c.tag <= t.clock {
			delete(t.clients, name)
		}
	}
}

// serve lets in whoever is next for as long as there is room.
func (q *Queue) serve(now time.Time) {
	for q.waiting > 0 && q.free(now) {
		var t *team
		for _, o := range q.teams {
			if o.waiting > 0 && (t == nil || o.tag < t.tag || o.tag == t.tag && o.name < t.name) {
				t = o
			}
		}
		name, c := "", (*client)(nil)
		for n, o := range t.clients {
			if len(o.queue) > 0 && (c == nil || o.tag < c.tag || o.tag == c.tag && n < name) {
				name, c = n, o
			}
		}
		w := c.queue[0]
		c.queue = c.queue[1:]
		t.waiting--
		q.waiting--
		q.clock = max(q.clock, t.tag)
		t.clock = max(t.clock, c.tag)
		c.tag += w.cost
		t.tag += w.cost / t.weight
		if q.limits.PerSecond > 0 {
			if q.paid.Before(now) {
				q.paid = now
			}
			q.paid = q.paid.Add(time.Duration(w.cost / q.limits.PerSecond * float64(time.Second)))
		}
		q.inside++
		q.let++
		w.in = true
		close(w.told)
	}
	// With a rate, the next one may enter without anybody leaving.
	if q.waiting > 0 && q.limits.PerSecond > 0 && q.paid.After(now) && (q.limits.Concurrency == 0 || q.inside < q.limits.Concurrency) && q.timer == nil {
		q.timer = time.AfterFunc(q.paid.Sub(now), func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.timer = nil
			q.serve(time.Now())
		})
	}
}

// retryAfter is about how long it takes until those of a team who wait now have
// been served, at the team's share of the places.
func (q *Queue) retryAfter(name string) time.Duration {
	waiting, mine, weights := 1.0, weight(q.limits.Weights, name), 0.0
	for _, t := range q.teams {
		if t.waiting > 0 || t.name == name {
			weights += t.weight
		}
		if t.name == name {
			waiting += float64(t.waiting)
		}
	}
	weights = max(weights, mine)
	held := max(q.served, firstGuess)
	wait := time.Duration(waiting * float64(held) / float64(max(1, q.limits.Concurrency)) * weights / mine)
	return min(mostRetry, max(leastRetry, wait))
}

// Stats says how a queue stands.
type Stats struct {
	Inside, Waiting int
	// Admitted and Refused count since the beginning.
	Admitted, Refused int64
	// ByTeam is who waits.
	ByTeam map[string]int
}

// Stats says how the queue stands.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Stats{Inside: q.inside, Waiting: q.waiting, Admitted: q.let, Refused: q.refused, ByTeam: map[string]int{}}
	for n, t := range q.teams {
		if t.waiting > 0 {
			s.ByTeam[n] = t.waiting
		}
	}
	return s
}
