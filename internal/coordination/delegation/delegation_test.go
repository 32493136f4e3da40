package delegation

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// A leader of everything with more machines than its sockets should hold: the shards
// spread, no delegate gets too full, no shard moves back and forth, and the same view gives the
// same plan.
func TestPlanBalancesAndConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n, room := 2+rng.IntN(6), 100+rng.IntN(900)
		machines := make([]int, ShardCount)
		total := 0
		for range rng.IntN(room) {
			machines[rng.IntN(ShardCount)]++
			total++
		}
		by := [ShardCount]string{}
		others := map[string]int{}
		for i := range n - 1 {
			others[fmt.Sprint("c-", i+1)] = rng.IntN(room / 3)
		}
		view := func() View {
			v := View{Own: Load{Capacity: room}, MayMove: true, MayReturn: true}
			held := map[string]int{}
			for s, k := range machines {
				v.Shards = append(v.Shards, Shard{Index: s, Machines: k, Delegate: by[s]})
				if by[s] == "" {
					v.Own.Machines += k
				} else {
					held[by[s]] += k
				}
			}
			for i := range n - 1 {
				l := fmt.Sprint("c-", i+1)
				v.Peers = append(v.Peers, Peer{Label: l, Load: Load{others[l] + held[l], room}, Available: true, Settled: true})
			}
			return v
		}
		moves := 0
		for {
			v := view()
			plan := PlanMoves(v)
			if again := PlanMoves(v); !reflect.DeepEqual(plan, again) {
				t.Fatalf("seed %d: %v, then %v", seed, plan, again)
			}
			if len(plan) == 0 {
				break
			}
			for _, m := range plan {
				by[m.Shard] = m.To
				v.Apply(m)
			}
			if again := view(); !reflect.DeepEqual(v, again) {
				t.Fatalf("seed %d: %v comes to\n%+v, not\n%+v", seed, plan, v, again)
			}
			if moves++; moves > ShardCount {
				t.Fatalf("seed %d: shards move back and forth: %v", seed, plan)
			}
		}
		v := view()
		largest, least := 0, 1.0
		for _, k := range machines {
			largest = max(largest, k)
		}
		for _, p := range v.Peers {
			least = min(least, p.Load.with(largest))
			if p.Load.with(0) > delegateFillLimit {
				t.Errorf("seed %d: %s is filled to %d of %d", seed, p.Label, p.Load.Machines, room)
			}
		}
		if v.Own.with(0) > delegateAbove && least <= delegateFillLimit && least < v.Own.with(-largest) {
			t.Errorf("seed %d: the leader has %d of %d though delegates have room", seed, v.Own.Machines, room)
		}
	}
}

func TestPlan(t *testing.T) {
	fits := Peer{Label: "b", Load: Load{0, 100}, Available: true, Settled: true}
	able := Peer{Label: "b", Load: Load{0, 100}, Available: true}
	gone := Peer{Label: "b", Load: Load{0, 100}}
	held := []Shard{{Index: 0, Machines: 29}, {Index: 1, Machines: 30}}
	away := []Shard{{Index: 0, Machines: 30}, {Index: 1, Machines: 10, Delegate: "b"}}
	for _, c := range []struct {
		what string
		v    View
		want []Move
	}{
		{"room", View{Own: Load{50, 100}, Shards: held, Peers: []Peer{fits}, MayMove: true}, nil},
		{"full", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{fits}, MayMove: true}, []Move{{0, 1, "b", "the leader is full"}}},
		{"full, moved just now", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{fits}}, nil},
		{"full, nobody available", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{gone}, MayMove: true}, nil},
		{"full, a version without delegation is there", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{fits}, MayMove: true, Unsupported: true}, nil},
		{"the delegate drains", View{Own: Load{61, 100}, Shards: away, Peers: []Peer{gone}}, []Move{{0, 1, "", "its delegate can't go on"}}},
		// In an outage of the state store all delegates are cut off from it: if their
		// shards came back then, the leader would run out of sockets.
		{"the delegate lacks the state store", View{Own: Load{61, 100}, Shards: away, Peers: []Peer{able}, MayMove: true}, nil},
		{"the delegate is gone", View{Own: Load{61, 100}, Shards: away}, []Move{{0, 1, "", "its delegate can't go on"}}},
		{"a version without delegation comes", View{Own: Load{61, 100}, Shards: away, Peers: []Peer{fits}, Unsupported: true},
			[]Move{{0, 1, "", "a controller does not support delegation"}}},
		{"room again", View{Own: Load{30, 100}, Shards: away, Peers: []Peer{fits}, MayReturn: true}, []Move{{0, 1, "", "the leader has capacity again"}}},
		{"room again, too soon", View{Own: Load{30, 100}, Shards: away, Peers: []Peer{fits}, MayMove: true}, nil},
		{"some room", View{Own: Load{31, 100}, Shards: away, Peers: []Peer{fits}, MayReturn: true}, nil},
		{"the peer is as full", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{{Label: "b", Load: Load{35, 100}, Available: true, Settled: true}}, MayMove: true}, nil},
	} {
		if got := PlanMoves(c.v); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// Delegates answer, renew, are killed, stall and lose requests and replies; shards change
// their delegates. Whenever the ledger says that a lease has run out, it has: no answer that
// was given up to then is younger.
func TestLedgerNeverEndsAnUnexpiredLease(t *testing.T) {
	const lease = 6 * time.Second
	ended := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 2))
		start := time.Unix(1000, 0)
		type request struct {
			from          int
			nonce         string
			after         uint64
			sent          map[int]bool
			asked, comes  time.Time
			answers, lost time.Time
			granted       []int
			d             time.Duration
			serial        uint64
			handled       bool
		}
		type delegate struct {
			nonce        string
			serial       uint64
			until        time.Time
			shares       map[int]bool
			unsent       map[int]bool
			pending      *request
			stalledUntil time.Time
		}
		var l Ledger
		delegates := make([]*delegate, 3)
		for i := range delegates {
			delegates[i] = &delegate{nonce: "a", unsent: map[int]bool{}, shares: map[int]bool{}}
		}
		label := func(i int) string { return fmt.Sprint("c-", i) }
		answers := make([][]time.Time, ShardCount) // given, in order
		last := make([]time.Time, ShardCount)      // as the leader knows
		for s := range last {
			last[s] = start
			answers[s] = []time.Time{start}
		}
		silent := make([]time.Time, ShardCount) // machines that send no heartbeats until then
		var flying []*request
		for ms := 0; ms < 60_000; ms += 50 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if rng.IntN(40) == 0 {
				to := ""
				if rng.IntN(4) > 0 {
					to = label(rng.IntN(len(delegates)))
				}
				l.Assign(rng.IntN(ShardCount), to)
			}
			if rng.IntN(20) == 0 {
				silent[rng.IntN(ShardCount)] = now.Add(time.Duration(rng.IntN(15_000)) * time.Millisecond)
			}
			for i, c := range delegates {
				switch rng.IntN(400) {
				case 0:
					*c = delegate{nonce: fmt.Sprint(ms), unsent: map[int]bool{}, shares: map[int]bool{}}
				case 1:
					c.stalledUntil = now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
				}
				if now.Before(c.stalledUntil) {
					continue
				}
				for s := range c.shares {
					if now.Before(c.until) && now.After(silent[s]) && rng.IntN(8) == 0 {
						answers[s] = append(answers[s], now)
						c.unsent[s] = true
					}
				}
				if c.pending == nil && rng.IntN(5) == 0 {
					r := &request{from: i, nonce: c.nonce, after: c.serial, sent: c.unsent, asked: now, comes: now.Add(time.Duration(rng.IntN(3)) * 50 * time.Millisecond)}
					switch rng.IntN(15) {
					case 0:
						r.comes = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
					case 1:
						r.comes = time.Time{} // never
					}
					if rng.IntN(15) == 0 {
						r.lost = now // its reply
					}
					c.pending, c.unsent = r, map[int]bool{}
					flying = append(flying, r)
				}
				if r := c.pending; r != nil {
					switch {
					case r.handled && r.lost.IsZero() && !now.Before(r.answers):
						c.serial, c.until, c.shares, c.pending = r.serial, r.asked.Add(r.d), map[int]bool{}, nil
						for _, s := range r.granted {
							c.shares[s] = true
						}
					case now.Sub(r.asked) > time.Second:
						for s := range r.sent {
							c.unsent[s] = true
						}
						c.pending = nil
					}
				}
			}
			for _, r := range flying {
				if r.handled || r.comes.IsZero() || now.Before(r.comes) {
					continue
				}
				r.handled, r.answers = true, now.Add(50*time.Millisecond)
				for s := range r.sent {
					last[s] = now
				}
				r.granted, r.d, r.serial = l.Renew(label(r.from), r.nonce, r.after, time.Duration(rng.IntN(3000)-100)*time.Millisecond, now)
				r.d = max(r.d, 0)
			}
			for s := range ShardCount {
				// The leader itself answers only those without a delegate.
				if l.Delegate(s) == "" && now.After(silent[s]) && rng.IntN(8) == 0 {
					last[s] = now
					answers[s] = append(answers[s], now)
				}
				known, answered := l.AnswerBounds(s, last[s], now)
				if known.Sub(answered) <= lease {
					continue
				}
				ended++
				for i := len(answers[s]) - 1; i >= 0; i-- {
					if a := answers[s][i]; !a.After(known) {
						if known.Sub(a) <= lease {
							t.Fatalf("seed %d, %d ms: shard %d of %q counts as silent for %s, but was answered %s before",
								seed, ms, s, l.Delegate(s), known.Sub(answered), known.Sub(a))
						}
						break
					}
				}
				last[s] = now // another epoch begins
			}
		}
	}
	if ended < 1000 {
		t.Errorf("only %d leases ran out: the test looks at nothing", ended)
	}
}

// The shard of a machine can't change: two versions must agree on it.
func TestShardOfNameIsStable(t *testing.T) {
	counts := [ShardCount]int{}
	for i := range 1600 {
		counts[ShardOf(fmt.Sprintf("m-%06d", i))]++
	}
	for s, n := range counts {
		if n < 60 || n > 140 {
			t.Errorf("shard %d holds %d of 1600 machines", s, n)
		}
	}
	if got := [3]int{ShardOf("m-000001"), ShardOf("m-000231"), ShardOf("")}; got != [3]int{4, 9, 5} {
		t.Errorf("shards %v", got)
	}
}

// No grant lasts longer than the leader may answer itself.
func TestGrantsStayWithinTheLeadersBound(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Ledger
	l.Assign(3, "b")
	if l.Active(3, now) || l.CommandRoute(3, now) != "" {
		t.Error("a delegate that has not asked is sent agents or commands")
	}
	for _, c := range []struct {
		most, want time.Duration
		shares     int
	}{{time.Minute, GrantDuration, 1}, {time.Second, time.Second, 1}, {0, 0, 0}, {-time.Second, 0, 0}} {
		granted, d, _ := l.Renew("b", "x", 0, c.most, now)
		if d > max(0, c.want) || len(granted) != c.shares {
			t.Errorf("with %s left: shards %v for %s", c.most, granted, d)
		}
	}
	if by := l.CommandRoute(3, now); by != "b" {
		t.Errorf("commands go through %q", by)
	}
	l.MarkDown("b", now)
	if by := l.CommandRoute(3, now.Add(time.Second/2)); by != "" || !l.Active(3, now.Add(time.Second/2)) {
		t.Errorf("commands go through %q, which takes none", by)
	}
	if l.Active(3, now.Add(GrantDuration)) {
		t.Error("a silent delegate is sent agents")
	}
	if granted, _, _ := l.Renew("c", "x", 0, time.Minute, now); len(granted) != 0 {
		t.Errorf("%v granted to a controller without shards", granted)
	}
}
