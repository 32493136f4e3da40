package delegation

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// A leader that leads all partitions has too many connections. Its shards are delegated, no
// delegate is filled beyond its limit, no shard moves back and forth, and the plan is
// deterministic.
func TestPlanBalancesAndConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		controllers, capacity := 2+rng.IntN(6), 100+rng.IntN(900)
		machines := make([]int, ShardCount)
		total := 0
		for range rng.IntN(capacity) {
			machines[rng.IntN(ShardCount)]++
			total++
		}
		delegateOf := [ShardCount]string{}
		others := map[string]int{}
		for i := range controllers - 1 {
			others[fmt.Sprint("c-", i+1)] = rng.IntN(capacity / 3)
		}
		view := func() View {
			v := View{Own: Load{Capacity: capacity}, MayMove: true, MayReturn: true}
			held := map[string]int{}
			for s, k := range machines {
				v.Shards = append(v.Shards, Shard{Index: s, Machines: k, Delegate: delegateOf[s]})
				if delegateOf[s] == "" {
					v.Own.Machines += k
				} else {
					held[delegateOf[s]] += k
				}
			}
			for i := range controllers - 1 {
				l := fmt.Sprint("c-", i+1)
				v.Peers = append(v.Peers, Peer{Label: l, Load: Load{others[l] + held[l], capacity}, Available: true, Settled: true})
			}
			return v
		}
		moves := 0
		for {
			v := view()
			plan := PlanMoves(v)
			if again := PlanMoves(v); !reflect.DeepEqual(plan, again) {
				t.Fatalf("seed %d: two plans for the same view: %v, then %v", seed, plan, again)
			}
			if len(plan) == 0 {
				break
			}
			for _, m := range plan {
				delegateOf[m.Shard] = m.To
				v.Apply(m)
			}
			if again := view(); !reflect.DeepEqual(v, again) {
				t.Fatalf("seed %d: after the moves %v, Apply gives the view\n%+v, want\n%+v", seed, plan, v, again)
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
			least = min(least, p.Load.utilizationWith(largest))
			if p.Load.utilizationWith(0) > delegateFillLimit {
				t.Errorf("seed %d: delegate %s has %d machines and a capacity of %d, want at most delegateFillLimit of the capacity in use", seed, p.Label, p.Load.Machines, capacity)
			}
		}
		if v.Own.utilizationWith(0) > delegateAbove && least <= delegateFillLimit && least < v.Own.utilizationWith(-largest) {
			t.Errorf("seed %d: the leader keeps %d machines with a capacity of %d, although a delegate has free capacity", seed, v.Own.Machines, capacity)
		}
	}
}

func TestPlan(t *testing.T) {
	settled := Peer{Label: "b", Load: Load{0, 100}, Available: true, Settled: true}
	unsettled := Peer{Label: "b", Load: Load{0, 100}, Available: true}
	unavailable := Peer{Label: "b", Load: Load{0, 100}}
	own := []Shard{{Index: 0, Machines: 29}, {Index: 1, Machines: 30}}
	delegated := []Shard{{Index: 0, Machines: 30}, {Index: 1, Machines: 10, Delegate: "b"}}
	for _, c := range []struct {
		name string
		view View
		want []Move
	}{
		{"the leader has free capacity", View{Own: Load{50, 100}, Shards: own, Peers: []Peer{settled}, MayMove: true}, nil},
		{"the leader is full", View{Own: Load{61, 100}, Shards: own, Peers: []Peer{settled}, MayMove: true}, []Move{{0, 1, "b", "the leader is full"}}},
		{"the leader is full, a shard has just moved", View{Own: Load{61, 100}, Shards: own, Peers: []Peer{settled}}, nil},
		{"the leader is full, no peer is available", View{Own: Load{61, 100}, Shards: own, Peers: []Peer{unavailable}, MayMove: true}, nil},
		{"the leader is full, a peer does not support delegation", View{Own: Load{61, 100}, Shards: own, Peers: []Peer{settled}, MayMove: true, DelegationUnsupported: true}, nil},
		{"the delegate is unavailable", View{Own: Load{61, 100}, Shards: delegated, Peers: []Peer{unavailable}}, []Move{{0, 1, "", "its delegate can't go on"}}},
		// When the state store fails, no delegate reaches it. The delegates must keep their
		// shards, or the leader would run out of sockets.
		{"the delegate can't reach the state store", View{Own: Load{61, 100}, Shards: delegated, Peers: []Peer{unsettled}, MayMove: true}, nil},
		{"the delegate is not a peer", View{Own: Load{61, 100}, Shards: delegated}, []Move{{0, 1, "", "its delegate can't go on"}}},
		{"a delegate serves a shard, a peer does not support delegation", View{Own: Load{61, 100}, Shards: delegated, Peers: []Peer{settled}, DelegationUnsupported: true},
			[]Move{{0, 1, "", "a controller does not support delegation"}}},
		{"the leader has capacity again", View{Own: Load{30, 100}, Shards: delegated, Peers: []Peer{settled}, MayReturn: true}, []Move{{0, 1, "", "the leader has capacity again"}}},
		{"the leader has capacity again, too soon", View{Own: Load{30, 100}, Shards: delegated, Peers: []Peer{settled}, MayMove: true}, nil},
		{"the leader has too little capacity to take a shard back", View{Own: Load{31, 100}, Shards: delegated, Peers: []Peer{settled}, MayReturn: true}, nil},
		{"the peer would be as full", View{Own: Load{61, 100}, Shards: own, Peers: []Peer{{Label: "b", Load: Load{35, 100}, Available: true, Settled: true}}, MayMove: true}, nil},
	} {
		if got := PlanMoves(c.view); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got moves %v, want %v", c.name, got, c.want)
		}
	}
}

// Delegates answer agents, renew their grants, are killed, stall and lose requests and replies, while
// shards change their delegates. When the ledger counts a machine's lease as expired, no answer to
// the machine was given within the lease's duration.
func TestLedgerNeverEndsAnUnexpiredLease(t *testing.T) {
	const lease = 6 * time.Second
	expired := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 2))
		start := time.Unix(1000, 0)
		type request struct {
			from                        int
			nonce                       string
			after                       uint64
			sent                        map[int]bool
			sentAt, arrivesAt           time.Time
			replyArrivesAt, replyLostAt time.Time
			granted                     []int
			duration                    time.Duration
			serial                      uint64
			handled                     bool
		}
		type delegate struct {
			nonce        string
			serial       uint64
			until        time.Time
			shards       map[int]bool
			unsent       map[int]bool
			pending      *request
			stalledUntil time.Time
		}
		var l Ledger
		delegates := make([]*delegate, 3)
		for i := range delegates {
			delegates[i] = &delegate{nonce: "a", unsent: map[int]bool{}, shards: map[int]bool{}}
		}
		label := func(i int) string { return fmt.Sprint("c-", i) }
		answers := make([][]time.Time, ShardCount) // all answers to the shard's machines, in order
		lastKnown := make([]time.Time, ShardCount) // last answer that the leader has received
		for s := range lastKnown {
			lastKnown[s] = start
			answers[s] = []time.Time{start}
		}
		silent := make([]time.Time, ShardCount) // time until which a shard's machines send no heartbeats
		var inFlight []*request
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
					*c = delegate{nonce: fmt.Sprint(ms), unsent: map[int]bool{}, shards: map[int]bool{}}
				case 1:
					c.stalledUntil = now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
				}
				if now.Before(c.stalledUntil) {
					continue
				}
				for s := range c.shards {
					if now.Before(c.until) && now.After(silent[s]) && rng.IntN(8) == 0 {
						answers[s] = append(answers[s], now)
						c.unsent[s] = true
					}
				}
				if c.pending == nil && rng.IntN(5) == 0 {
					r := &request{from: i, nonce: c.nonce, after: c.serial, sent: c.unsent, sentAt: now, arrivesAt: now.Add(time.Duration(rng.IntN(3)) * 50 * time.Millisecond)}
					switch rng.IntN(15) {
					case 0:
						r.arrivesAt = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
					case 1:
						r.arrivesAt = time.Time{} // the request is lost
					}
					if rng.IntN(15) == 0 {
						r.replyLostAt = now
					}
					c.pending, c.unsent = r, map[int]bool{}
					inFlight = append(inFlight, r)
				}
				if r := c.pending; r != nil {
					switch {
					case r.handled && r.replyLostAt.IsZero() && !now.Before(r.replyArrivesAt):
						c.serial, c.until, c.shards, c.pending = r.serial, r.sentAt.Add(r.duration), map[int]bool{}, nil
						for _, s := range r.granted {
							c.shards[s] = true
						}
					case now.Sub(r.sentAt) > time.Second:
						for s := range r.sent {
							c.unsent[s] = true
						}
						c.pending = nil
					}
				}
			}
			for _, r := range inFlight {
				if r.handled || r.arrivesAt.IsZero() || now.Before(r.arrivesAt) {
					continue
				}
				r.handled, r.replyArrivesAt = true, now.Add(50*time.Millisecond)
				for s := range r.sent {
					lastKnown[s] = now
				}
				r.granted, r.duration, r.serial = l.Renew(label(r.from), r.nonce, r.after, time.Duration(rng.IntN(3000)-100)*time.Millisecond, now)
				r.duration = max(r.duration, 0)
			}
			for s := range ShardCount {
				// The leader itself answers only the shards without a delegate.
				if l.Delegate(s) == "" && now.After(silent[s]) && rng.IntN(8) == 0 {
					lastKnown[s] = now
					answers[s] = append(answers[s], now)
				}
				known, answered := l.AnswerBounds(s, lastKnown[s], now)
				if known.Sub(answered) <= lease {
					continue
				}
				expired++
				for i := len(answers[s]) - 1; i >= 0; i-- {
					if a := answers[s][i]; !a.After(known) {
						if known.Sub(a) <= lease {
							t.Fatalf("seed %d, %d ms: shard %d of delegate %q: the ledger reports the last answer at least %s ago, but it was given %s ago",
								seed, ms, s, l.Delegate(s), known.Sub(answered), known.Sub(a))
						}
						break
					}
				}
				lastKnown[s] = now // the machines begin a new epoch
			}
		}
	}
	if expired < 1000 {
		t.Errorf("only %d leases expired, want at least 1000", expired)
	}
}

// The shard of a machine must never change: all versions must agree on it.
func TestShardOfNameIsStable(t *testing.T) {
	counts := [ShardCount]int{}
	for i := range 1600 {
		counts[ShardOf(fmt.Sprintf("m-%06d", i))]++
	}
	for s, n := range counts {
		if n < 60 || n > 140 {
			t.Errorf("shard %d has %d of 1600 machines, want 60 to 140", s, n)
		}
	}
	if got := [3]int{ShardOf("m-000001"), ShardOf("m-000231"), ShardOf("")}; got != [3]int{4, 9, 5} {
		t.Errorf("ShardOf of three machine names: got %v, want [4 9 5]", got)
	}
}

// No grant lasts longer than the bound that the leader sets in the renewal.
func TestGrantsStayWithinTheLeadersBound(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Ledger
	l.Assign(3, "b")
	if l.Active(3, now) || l.CommandRoute(3, now) != "" {
		t.Error("the delegate is active or receives commands before it has a grant")
	}
	for _, c := range []struct {
		longest, want time.Duration
		shards        int
	}{{time.Minute, GrantDuration, 1}, {time.Second, time.Second, 1}, {0, 0, 0}, {-time.Second, 0, 0}} {
		granted, d, _ := l.Renew("b", "x", 0, c.longest, now)
		if d > max(0, c.want) || len(granted) != c.shards {
			t.Errorf("renewal with a bound of %s: got shards %v for %s, want %d shards for at most %s", c.longest, granted, d, c.shards, max(0, c.want))
		}
	}
	if delegate := l.CommandRoute(3, now); delegate != "b" {
		t.Errorf("commands are routed through %q, want b", delegate)
	}
	l.MarkDown("b", now)
	if delegate := l.CommandRoute(3, now.Add(time.Second/2)); delegate != "" || !l.Active(3, now.Add(time.Second/2)) {
		t.Errorf("after MarkDown, commands are routed through %q, want none; the delegate should stay active", delegate)
	}
	if l.Active(3, now.Add(GrantDuration)) {
		t.Error("a delegate is active after its grant expired")
	}
	if granted, _, _ := l.Renew("c", "x", 0, time.Minute, now); len(granted) != 0 {
		t.Errorf("shards %v granted to a controller that is no delegate", granted)
	}
}
