package delegation

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// An owner of everything with more machines than its sockets should hold: the shares
// spread, nobody gets too full, nothing wanders, and the same view gives the same plan.
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
				t.Fatalf("seed %d: shares wander: %v", seed, plan)
			}
		}
		v := view()
		largest, least := 0, 1.0
		for _, k := range machines {
			largest = max(largest, k)
		}
		for _, p := range v.Peers {
			least = min(least, p.Load.with(largest))
			if p.Load.with(0) > brim {
				t.Errorf("seed %d: %s is filled to %d of %d", seed, p.Label, p.Load.Machines, room)
			}
		}
		if v.Own.with(0) > full && least <= brim && least < v.Own.with(-largest) {
			t.Errorf("seed %d: the owner keeps %d of %d though there is room", seed, v.Own.Machines, room)
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
		{"full", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{fits}, MayMove: true}, []Move{{0, 1, "b", "the owner is full"}}},
		{"full, not rested", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{fits}}, nil},
		{"full, nobody fit", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{gone}, MayMove: true}, nil},
		{"full, an old version is heard", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{fits}, MayMove: true, Unsupported: true}, nil},
		{"the carrier goes", View{Own: Load{61, 100}, Shards: away, Peers: []Peer{gone}}, []Move{{0, 1, "", "its carrier can't go on"}}},
		// In an outage of the state service all carriers are cut off from it: were their
		// shares to come home then, the owner's sockets would end.
		{"the carrier lacks the state service", View{Own: Load{61, 100}, Shards: away, Peers: []Peer{able}, MayMove: true}, nil},
		{"the carrier is gone", View{Own: Load{61, 100}, Shards: away}, []Move{{0, 1, "", "its carrier can't go on"}}},
		{"an old version comes", View{Own: Load{61, 100}, Shards: away, Peers: []Peer{fits}, Unsupported: true},
			[]Move{{0, 1, "", "a controller does not know shares"}}},
		{"room again", View{Own: Load{30, 100}, Shards: away, Peers: []Peer{fits}, MayReturn: true}, []Move{{0, 1, "", "the owner has room again"}}},
		{"room again, too soon", View{Own: Load{30, 100}, Shards: away, Peers: []Peer{fits}, MayMove: true}, nil},
		{"some room", View{Own: Load{31, 100}, Shards: away, Peers: []Peer{fits}, MayReturn: true}, nil},
		{"the peer is as full", View{Own: Load{61, 100}, Shards: held, Peers: []Peer{{Label: "b", Load: Load{35, 100}, Available: true, Settled: true}}, MayMove: true}, nil},
	} {
		if got := PlanMoves(c.v); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// Carriers answer, tell, are killed, stand still and lose requests and replies; shares
// change hands. Whenever the book says that a lease has run out, it has: no answer that
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
			told          map[int]bool
			asked, comes  time.Time
			answers, lost time.Time
			granted       []int
			d             time.Duration
			serial        uint64
			handled       bool
		}
		type carrier struct {
			nonce   string
			serial  uint64
			until   time.Time
			shares  map[int]bool
			untold  map[int]bool
			pending *request
			still   time.Time
		}
		var l Ledger
		carriers := make([]*carrier, 3)
		for i := range carriers {
			carriers[i] = &carrier{nonce: "a", untold: map[int]bool{}, shares: map[int]bool{}}
		}
		label := func(i int) string { return fmt.Sprint("c-", i) }
		answers := make([][]time.Time, ShardCount) // given, in order
		last := make([]time.Time, ShardCount)      // as the owner knows
		for s := range last {
			last[s] = start
			answers[s] = []time.Time{start}
		}
		silent := make([]time.Time, ShardCount) // machines that don't report until then
		var flying []*request
		for ms := 0; ms < 60_000; ms += 50 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if rng.IntN(40) == 0 {
				to := ""
				if rng.IntN(4) > 0 {
					to = label(rng.IntN(len(carriers)))
				}
				l.Assign(rng.IntN(ShardCount), to)
			}
			if rng.IntN(20) == 0 {
				silent[rng.IntN(ShardCount)] = now.Add(time.Duration(rng.IntN(15_000)) * time.Millisecond)
			}
			for i, c := range carriers {
				switch rng.IntN(400) {
				case 0:
					*c = carrier{nonce: fmt.Sprint(ms), untold: map[int]bool{}, shares: map[int]bool{}}
				case 1:
					c.still = now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
				}
				if now.Before(c.still) {
					continue
				}
				for s := range c.shares {
					if now.Before(c.until) && now.After(silent[s]) && rng.IntN(8) == 0 {
						answers[s] = append(answers[s], now)
						c.untold[s] = true
					}
				}
				if c.pending == nil && rng.IntN(5) == 0 {
					r := &request{from: i, nonce: c.nonce, after: c.serial, told: c.untold, asked: now, comes: now.Add(time.Duration(rng.IntN(3)) * 50 * time.Millisecond)}
					switch rng.IntN(15) {
					case 0:
						r.comes = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
					case 1:
						r.comes = time.Time{} // never
					}
					if rng.IntN(15) == 0 {
						r.lost = now // its reply
					}
					c.pending, c.untold = r, map[int]bool{}
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
						for s := range r.told {
							c.untold[s] = true
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
				for s := range r.told {
					last[s] = now
				}
				r.granted, r.d, r.serial = l.Renew(label(r.from), r.nonce, r.after, time.Duration(rng.IntN(3000)-100)*time.Millisecond, now)
				r.d = max(r.d, 0)
			}
			for s := range ShardCount {
				// The owner itself answers only those that nobody carries.
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
							t.Fatalf("seed %d, %d ms: share %d of %q counts as silent for %s, but was answered %s before",
								seed, ms, s, l.Delegate(s), known.Sub(answered), known.Sub(a))
						}
						break
					}
				}
				last[s] = now // another session begins
			}
		}
	}
	if ended < 1000 {
		t.Errorf("only %d leases ran out: the test looks at nothing", ended)
	}
}

// What a share is can't change: two versions must agree on it.
func TestShardOfNameIsStable(t *testing.T) {
	counts := [ShardCount]int{}
	for i := range 1600 {
		counts[ShardOf(fmt.Sprintf("m-%06d", i))]++
	}
	for s, n := range counts {
		if n < 60 || n > 140 {
			t.Errorf("share %d holds %d of 1600 machines", s, n)
		}
	}
	if got := [3]int{ShardOf("m-000001"), ShardOf("m-000231"), ShardOf("")}; got != [3]int{4, 9, 5} {
		t.Errorf("shares %v", got)
	}
}

// No grant outlasts what its owner may do itself.
func TestGrantsStayWithinTheLeadersBound(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Ledger
	l.Assign(3, "b")
	if l.Active(3, now) || l.CommandRoute(3, now) != "" {
		t.Error("a carrier that has not asked is sent workers or orders")
	}
	for _, c := range []struct {
		most, want time.Duration
		shares     int
	}{{time.Minute, GrantDuration, 1}, {time.Second, time.Second, 1}, {0, 0, 0}, {-time.Second, 0, 0}} {
		granted, d, _ := l.Renew("b", "x", 0, c.most, now)
		if d > max(0, c.want) || len(granted) != c.shares {
			t.Errorf("with %s left: shares %v for %s", c.most, granted, d)
		}
	}
	if by := l.CommandRoute(3, now); by != "b" {
		t.Errorf("orders go by way of %q", by)
	}
	l.MarkDown("b", now)
	if by := l.CommandRoute(3, now.Add(time.Second/2)); by != "" || !l.Active(3, now.Add(time.Second/2)) {
		t.Errorf("orders go by way of %q, which takes none", by)
	}
	if l.Active(3, now.Add(GrantDuration)) {
		t.Error("a carrier that is silent is sent workers")
	}
	if granted, _, _ := l.Renew("c", "x", 0, time.Minute, now); len(granted) != 0 {
		t.Errorf("%v granted to who carries nothing", granted)
	}
}
