package coordination

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

var update = flag.Bool("update", false, "write testdata/plans.txt anew")

// nowhere is a network on which nothing answers.
type nowhere struct{}

func (nowhere) Do(ctx context.Context, _, _, _ string, _ []byte) (*transport.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The plans for some hundred random worlds, against those on record: order of work,
// placement, preemption, moves, rentals, returns. Guards against a change of behaviour
// where none is meant; one that is meant writes them anew: go test -run TestPlans -update
func TestPlansStayTheSame(t *testing.T) {
	t.Parallel()
	const file = "testdata/plans.txt"
	var all strings.Builder
	for seed := range uint64(120) {
		fmt.Fprintf(&all, "seed %d\n", seed)
		synctest.Test(t, func(t *testing.T) { all.WriteString(plansOf(t, seed)) })
	}
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(all.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got, on := strings.Split(all.String(), "\n"), strings.Split(string(want), "\n")
	seed := ""
	for i := range max(len(got), len(on)) {
		g, w := "", ""
		if i < len(got) {
			g = got[i]
		}
		if i < len(on) {
			w = on[i]
		}
		if strings.HasPrefix(g, "seed") {
			seed = g
		}
		if g != w {
			t.Fatalf("%s, line %d: now %q, on record %q", seed, i+1, g, w)
		}
	}
}

// plansOf makes a world from a seed and tells what is planned for it. Idle machines
// of a part are of one kind, so that the order among equals does not show.
func plansOf(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := newWorld(t, 3)
	w.set.Label = "n0"
	op := settings.DefaultOperator()
	ctx, cancel := context.WithCancel(context.Background())
	c := New(ctx, &w.set, op, nowhere{}, slog.New(slog.DiscardHandler))
	defer func() {
		cancel()
		close(c.loopDone) // it never ran
		c.duty.Wait()
	}()
	c.setCatalog(w.cloud.Types)
	now := time.Now()
	c.synced, c.renewed = true, now
	for _, p := range c.parts {
		p.owner, p.version, p.mine, p.ready, p.claimed = "n0", 1, true, true, now
	}
	c.leader.mine, c.leader.version = true, 7
	types := c.catalog
	for p := range c.parts {
		typ, zone, spot := types[rng.IntN(len(types))], "", rng.IntN(2) == 0
		zone = typ.ZonesOffered[rng.IntN(len(typ.ZonesOffered))]
		recorded, idle := now.Add(-time.Duration(rng.IntN(200))*time.Second), now.Add(-time.Duration(rng.IntN(60))*time.Second)
		for i := range rng.IntN(6) {
			name := fmt.Sprintf("m-%d-%d", p, i)
			c.machineRecorded(name, bookkeeping.Machine{Part: p, Addr: name + ":1", Type: typ.Name, Zone: zone, Spot: spot}, 2, now)
			m := c.machines[name]
			m.heard, m.fenced, m.session, m.answeredBy, m.lastHeard = true, true, 1, now, now
			m.recordedAt, m.idleSince = recorded, idle
			if rng.IntN(4) == 0 {
				m.images["img-1"] = now
			}
			m.faulty = rng.IntN(12) == 0
			m.lost = rng.IntN(15) == 0
		}
	}
	teams := w.set.Params.Teams
	add := func(n, from int) {
		for i := range n {
			s := spec(fmt.Sprintf("job-%d", from+i), 1+rng.IntN(12), teams[rng.IntN(len(teams))].Name)
			s.Urgency = protocol.Urgency(rng.IntN(4))
			s.CPUs, s.MemGB = float64(1+rng.IntN(6)), float64(1+rng.IntN(8))
			s.EstimateS, s.DeadlineS = float64(2+rng.IntN(60)), float64(rng.IntN(3)*(10+rng.IntN(120)))
			s.Image = fmt.Sprintf("img-%d", rng.IntN(3))
			s.Spot = rng.IntN(4) > 0
			s.Gang = rng.IntN(8) == 0
			if rng.IntN(3) == 0 {
				s.Types = []string{types[rng.IntN(len(types))].Name}
			}
			s.SubmittedMS = now.Add(-time.Duration(rng.IntN(90)) * time.Second).UnixMilli()
			c.applyJobRecord(s.ID, bookkeeping.Encode(s))
		}
	}
	var out strings.Builder
	orders := func() {
		for _, p := range c.parts {
			p.order = nil
			var ids []string
			for _, j := range c.inOrder(p) {
				ids = append(ids, strings.TrimPrefix(j.spec.ID, "job-"))
			}
			fmt.Fprintf(&out, " order %d: %s\n", p.index, strings.Join(ids, " "))
		}
	}
	add(3+rng.IntN(8), 0)
	orders()
	for _, p := range c.parts {
		c.place(p, now)
	}
	var placed []string
	for _, m := range c.machines {
		for _, a := range m.attempts {
			placed = append(placed, a.wire()+"@"+m.name)
			a.state, a.startedAt = attemptSeen, now.Add(-time.Duration(a.task*3)*time.Second)
		}
	}
	slices.Sort(placed)
	fmt.Fprintf(&out, " placed: %s\n", strings.Join(placed, " "))
	c.scarce = nil
	add(4+rng.IntN(10), 100)
	orders()
	for _, p := range c.parts {
		c.preempt(p, now)
	}
	var stopped []string
	for _, m := range c.machines {
		for _, a := range m.attempts {
			if a.stopping {
				stopped = append(stopped, a.wire())
			}
		}
	}
	slices.Sort(stopped)
	fmt.Fprintf(&out, " stopped: %s\n", strings.Join(stopped, " "))
	c.steer(now)
	var fleet []string
	for _, r := range c.leader.renting {
		fleet = append(fleet, fmt.Sprintf("rent %d %s %s %v for %d", r.count, r.kind.Type, r.kind.Zone, r.kind.Spot, r.part))
	}
	moved := map[int]int{}
	for name := range c.leader.moved {
		moved[c.machines[name].rec.Part]++
	}
	for p, n := range moved {
		fleet = append(fleet, fmt.Sprintf("move %d from %d", n, p))
	}
	away := map[string]int{}
	for name := range c.leader.deleting {
		m := c.machines[name]
		away[fmt.Sprintf("%d lost %v faulty %v", m.rec.Part, m.lost, m.faulty)]++
	}
	for what, n := range away {
		fleet = append(fleet, fmt.Sprintf("give %d of %s", n, what))
	}
	slices.Sort(fleet)
	fmt.Fprintf(&out, " fleet: %s\n", strings.Join(fleet, ", "))
	return out.String()
}
