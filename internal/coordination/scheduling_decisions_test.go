package coordination

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// updatePlans makes the test rewrite its golden file.
var updatePlans = flag.Bool("update", false, "rewrite testdata/plans.txt")

// Queue order, placement, preemption, moves, scale-outs and scale-ins for 120 random clusters
// are compared with a golden file, so that no change alters them unintentionally. After an
// intended change, rewrite the file: go test -run TestSchedulingDecisions -update
func TestSchedulingDecisionsMatchGoldenFile(t *testing.T) {
	t.Parallel()
	const file = "testdata/plans.txt"
	var all strings.Builder
	for seed := range uint64(120) {
		fmt.Fprintf(&all, "seed %d\n", seed)
		synctest.Test(t, func(t *testing.T) { all.WriteString(describePlans(t, seed)) })
	}
	if *updatePlans {
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
	gotLines, wantLines := strings.Split(all.String(), "\n"), strings.Split(string(want), "\n")
	seed := ""
	for i := range max(len(gotLines), len(wantLines)) {
		g, w := "", ""
		if i < len(gotLines) {
			g = gotLines[i]
		}
		if i < len(wantLines) {
			w = wantLines[i]
		}
		if strings.HasPrefix(g, "seed") {
			seed = g
		}
		if g != w {
			t.Fatalf("%s, line %d: got %q, want %q", seed, i+1, g, w)
		}
	}
}

// describePlans generates a cluster from a seed and describes the scheduling decisions for it. The
// machines of a partition are equal, so that the choice between them does not change the decisions.
func describePlans(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	sim := newSimulatedCluster(t, 3)
	sim.settings.Label = "n0"
	op := settings.DefaultOperator()
	ctx, cancel := context.WithCancel(context.Background())
	c := newTestController(ctx, &sim.settings, op)
	defer func() {
		cancel()
		c.loop.StopUnstarted()
	}()
	c.SetCatalog(sim.cloud.Types)
	now := time.Now()
	c.Synced, c.LeaseRenewedAt = true, now
	for _, p := range c.Partitions {
		p.Leader, p.LeaseRevision, p.Held, p.Ready, p.AcquiredAt = "n0", 1, true, true, now
	}
	c.Leadership.Held, c.Leadership.Revision = true, 7
	types := c.Catalog
	for p := range c.Partitions {
		typ, zone, spot := types[rng.IntN(len(types))], "", rng.IntN(2) == 0
		zone = typ.Zones[rng.IntN(len(typ.Zones))]
		recorded, idle := now.Add(-time.Duration(rng.IntN(200))*time.Second), now.Add(-time.Duration(rng.IntN(60))*time.Second)
		for i := range rng.IntN(6) {
			name := fmt.Sprintf("m-%d-%d", p, i)
			c.agents.ApplyMachineRecord(name, storage.Machine{Partition: p, Addr: name + ":1", Type: typ.Name, Zone: zone, Spot: spot}, 2, now)
			m := c.Machines[name]
			m.HasReported, m.TokenConfirmed, m.Epoch, m.LastHeartbeatAt = true, true, 1, now
			m.Answers.Answered(now)
			m.RecordedAt, m.IdleSince = recorded, idle
			if rng.IntN(4) == 0 {
				m.Images["img-1"] = now
			}
			m.Quarantined = rng.IntN(12) == 0
			m.Lost = rng.IntN(15) == 0
		}
	}
	teams := sim.settings.Params.Teams
	addJobs := func(count, firstID int) {
		for i := range count {
			s := newJobSpec(fmt.Sprintf("job-%d", firstID+i), 1+rng.IntN(12), teams[rng.IntN(len(teams))].Name)
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
			c.jobs.ApplyJobRecord(s.ID, storage.Encode(s))
		}
	}
	var out strings.Builder
	writeQueueOrders := func() {
		for _, p := range c.Partitions {
			p.QueueOrder = nil
			var ids []string
			for _, j := range c.scheduler.Queue(p) {
				ids = append(ids, strings.TrimPrefix(j.Spec.ID, "job-"))
			}
			fmt.Fprintf(&out, " order %d: %s\n", p.Index, strings.Join(ids, " "))
		}
	}
	addJobs(3+rng.IntN(8), 0)
	writeQueueOrders()
	for _, p := range c.Partitions {
		c.scheduler.Place(p, now)
	}
	var placed []string
	for _, m := range c.Machines {
		for _, a := range m.Attempts {
			placed = append(placed, a.TaskName()+"@"+m.Name)
			a.State, a.StartedAt = cluster.AttemptConfirmed, now.Add(-time.Duration(a.TaskIndex*3)*time.Second)
		}
	}
	slices.Sort(placed)
	fmt.Fprintf(&out, " placed: %s\n", strings.Join(placed, " "))
	c.scheduler.ScarcityCache = nil
	addJobs(4+rng.IntN(10), 100)
	writeQueueOrders()
	for _, p := range c.Partitions {
		c.scheduler.Preempt(p, now)
	}
	var stopped []string
	for _, m := range c.Machines {
		for _, a := range m.Attempts {
			if a.Stopping {
				stopped = append(stopped, a.TaskName())
			}
		}
	}
	slices.Sort(stopped)
	fmt.Fprintf(&out, " stopped: %s\n", strings.Join(stopped, " "))
	c.autoscaler.ReconcileFleet(now)
	var fleet []string
	for _, r := range c.Leadership.PendingScaleOuts {
		fleet = append(fleet, fmt.Sprintf("rent %d %s %s %v for %d", r.Count, r.Kind.Type, r.Kind.Zone, r.Kind.Spot, r.Partition))
	}
	moved := map[int]int{}
	for name := range c.Leadership.MovedAt {
		moved[c.Machines[name].Record.Partition]++
	}
	for p, count := range moved {
		fleet = append(fleet, fmt.Sprintf("move %d from %d", count, p))
	}
	deleting := map[string]int{}
	for name := range c.Leadership.DeletionRequestedAt {
		m := c.Machines[name]
		deleting[fmt.Sprintf("%d lost %v faulty %v", m.Record.Partition, m.Lost, m.Quarantined)]++
	}
	for kind, count := range deleting {
		fleet = append(fleet, fmt.Sprintf("give %d of %s", count, kind))
	}
	slices.Sort(fleet)
	fmt.Fprintf(&out, " fleet: %s\n", strings.Join(fleet, ", "))
	return out.String()
}
