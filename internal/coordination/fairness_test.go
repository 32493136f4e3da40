package coordination

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// Polls of many waiting jobs must not use up the request limit of the state store: lease renewals
// would be refused, and partitions would change leaders (docs/incidents/night-flood.md).
func TestPollLoadDoesNotCostPartitionLeases(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 51, func(sim *simulatedCluster) {
		sim.settings.Params.State.RPS = 60
		sim.state.RequestLimiter = rate.NewLimiter(60, 60)
		sim.cloud.Capacity = 0 // no task runs
	}, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		const jobs = 300
		for i := range jobs {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 2, "green"))
		}
		leaseVersions := func() string {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			return fmt.Sprint(sim.state.Items[storage.LeaseKey(0)].Version, sim.state.Items[storage.LeaseKey(1)].Version,
				sim.state.Items[storage.LeaseKey(2)].Version, sim.state.Items[storage.LeadershipKey].Version)
		}
		before, answered, polled := leaseVersions(), 0, 0
		for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
			for i := range jobs / 2 { // 150 polls a second; the limit is 60 requests a second
				sim.group.Go(func() {
					st := sim.poll(fmt.Sprintf("n%d", i%3), fmt.Sprintf("job-%d", i))
					sim.mu.Lock()
					defer sim.mu.Unlock()
					if polled++; st == protocol.StatusQueued {
						answered++
					}
				})
			}
		}
		time.Sleep(5 * time.Second)
		if now := leaseVersions(); now != before {
			t.Errorf("lease versions changed from %s to %s: partitions changed leaders", before, now)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if answered < polled*95/100 {
			t.Errorf("%d of %d polls were answered, want at least 95%%", answered, polled)
		}
	})
}

// loadSurge multiplies the usual arrival rate of the jobs of one class or team.
type loadSurge struct {
	class, team string // empty: any
	multiplier  int
}

// factor returns the ratio of the surge's arrival rate to the usual one for the jobs of a class and
// team.
func (surge loadSurge) factor(class, team string) int {
	if (surge.class == "" || surge.class == class) && (surge.team == "" || surge.team == team) {
		return surge.multiplier
	}
	return 1
}

// groupOutcome holds the number of jobs of a class or team, and the numbers of jobs whose tasks
// have all started or are all done.
type groupOutcome struct{ jobs, started, done int }

// configureSurgeCluster configures a fleet in which the large class fits only one machine type.
// Without a surge, about a third of the fleet is in use.
func configureSurgeCluster(sim *simulatedCluster) {
	sim.cloud.Capacity, sim.cloud.CapacityByType = 22, map[string]int{"small": 12, "big": 10}
	sim.settings.Params.Teams = []settings.Team{{Name: "red", CPUs: 60, CPUsMax: 400}, {Name: "blue", CPUs: 60, CPUsMax: 400}, {Name: "green"}}
	sim.settings.Params.State.RPS, sim.settings.Params.State.WriteRPS = 600, 200
}

// runLoadSurge submits jobs with a surge of surgeS seconds while leaders are killed, waits for
// waitS seconds, and returns the outcome of each class and team.
func runLoadSurge(sim *simulatedCluster, surge loadSurge, surgeS, waitS int) map[string]*groupOutcome {
	groups := map[string]*groupOutcome{}
	started := map[string]map[int]bool{}
	sim.mu.Lock()
	sim.taskRunTime = func(job string, task int, _ string) time.Duration {
		if started[job] == nil {
			started[job] = map[int]bool{}
		}
		started[job][task] = true
		return settings.Seconds(sim.jobs[job].spec.EstimateS)
	}
	sim.mu.Unlock()
	time.Sleep(2 * time.Second)
	nextJob := 0
	submit := func(class, team string) {
		s := newJobSpec(fmt.Sprintf("job-%d", nextJob), 8, team)
		s.Class, s.MemGB, s.Image = class, 1, "img-"+class
		switch class {
		case "urgent":
			s.Urgency, s.CPUs, s.DeadlineS, s.EstimateS = protocol.High, 2, 25, 6
		case "large":
			s.CPUs, s.Tasks, s.DeadlineS, s.EstimateS = 16, 2, 60, 8
		case "small":
			s.Urgency, s.CPUs, s.Tasks, s.DeadlineS, s.EstimateS = protocol.Low, 1, 4, 0, 5
		}
		nextJob++
		sim.group.Go(func() { sim.submit(s) })
	}
	const surgeStartS = 20
	for second := range surgeStartS + surgeS {
		for i, class := range []string{"urgent", "large", "small"} {
			team := sim.settings.Params.Teams[(second+i)%len(sim.settings.Params.Teams)].Name
			n := 1
			if second >= surgeStartS {
				n = surge.factor(class, team)
			}
			if second%2 == 0 {
				for range n {
					submit(class, team)
				}
			}
		}
		switch second {
		case 40, 70:
			sim.killController(fmt.Sprintf("n%d", second/40))
		case 43, 72:
			sim.startController(fmt.Sprintf("n%d", second/43))
		}
		time.Sleep(time.Second)
	}
	time.Sleep(time.Duration(waitS) * time.Second)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, submitted := range sim.jobs {
		if submitted.acceptedAt.IsZero() || time.Since(submitted.acceptedAt) < 45*time.Second {
			continue // accepted too recently to be expected to run
		}
		for _, group := range []string{"class " + submitted.spec.Class, "team " + submitted.spec.Team} {
			g := groups[group]
			if g == nil {
				g = &groupOutcome{}
				groups[group] = g
			}
			g.jobs++
			if len(started[id]) == submitted.spec.Tasks {
				g.started++
			}
			if len(submitted.tasksDone) == submitted.spec.Tasks {
				g.done++
			}
		}
	}
	return groups
}

// After a load surge of any class or team, at least half of the jobs of each class and team have
// run.
func TestHalfOfEachGroupIsServedDuringALoadSurge(t *testing.T) {
	t.Parallel()
	for seed, surge := range []loadSurge{{"urgent", "", 4}, {"urgent", "", 10}, {"urgent", "", 30}, {"large", "", 4}, {"large", "", 10},
		{"small", "", 10}, {"small", "", 30}, {"", "red", 10}, {"", "green", 10}, {"", "green", 30}} {
		t.Run(fmt.Sprintf("%s%s by %d, seed %d", surge.class, surge.team, surge.multiplier, seed), func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, uint64(300+seed), configureSurgeCluster, func(sim *simulatedCluster) {
				groups := runLoadSurge(sim, surge, 60, 180+6*surge.multiplier) // the wait is long enough for the fleet to run the jobs
				for _, name := range slices.Sorted(maps.Keys(groups)) {
					g := groups[name]
					t.Logf("%s: %d jobs, a share of %.2f started, %.2f done", name, g.jobs, float64(g.started)/float64(g.jobs), float64(g.done)/float64(g.jobs))
					if 2*g.started < g.jobs || 2*g.done < g.jobs {
						t.Errorf("%s: of %d jobs, %d started and %d are done, want at least half of each", name, g.jobs, g.started, g.done)
					}
				}
			})
		})
	}
}

// While a load surge lasts, at least half of the jobs of a starved group start without waiting for
// the end of the surge.
func TestEndlessLoadSurgeLeavesRoomForOthers(t *testing.T) {
	t.Parallel()
	for seed, tc := range []struct {
		loadSurge
		name         string
		quota        float64 // CPU quota of team red
		starvedGroup string
	}{
		{loadSurge{"urgent", "", 30}, "machines", 400, "class large"},
		{loadSurge{"urgent", "red", 60}, "a team's limit", 256, "class large"},
		{loadSurge{"", "green", 30}, "one team", 400, "team blue"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			prepare := func(sim *simulatedCluster) {
				configureSurgeCluster(sim)
				sim.settings.Params.Teams[0].CPUsMax = tc.quota
				if tc.quota < 400 {
					sim.settings.Params.Teams = sim.settings.Params.Teams[:1]
				}
			}
			runConfiguredSimulation(t, uint64(400+seed), prepare, func(sim *simulatedCluster) {
				g := runLoadSurge(sim, tc.loadSurge, 150, 0)[tc.starvedGroup]
				t.Logf("%s: of %d jobs, %d started and %d are done", tc.starvedGroup, g.jobs, g.started, g.done)
				if 2*g.started < g.jobs {
					t.Errorf("%s: of %d jobs, %d started, want at least half", tc.starvedGroup, g.jobs, g.started)
				}
			})
		})
	}
}

// Completed jobs are counted from the records, each once, so that a controller that starts later or
// lists the records again has the same counts as one that was running when the jobs ended.
func TestCompletedJobsAreCountedFromTheRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		set := newSimulatedCluster(t, 1).settings
		set.Label = "n0"
		c := newTestController(t.Context(), &set, settings.DefaultOperator())
		now := time.Now()
		var items []protocol.Item
		add := func(id, status string, ago time.Duration) {
			s := newJobSpec(id, 1, "red")
			s.SubmittedMS = now.Add(-ago - time.Minute).UnixMilli()
			items = append(items, protocol.Item{Key: storage.JobKey(id), Value: storage.Encode(s), Version: 2})
			if status != "" {
				items = append(items, protocol.Item{Key: storage.FinalKey(id), Version: 3,
					Value: storage.Encode(storage.FinalRecord{Status: status, AtMS: now.Add(-ago).UnixMilli()})})
			}
		}
		add("job-1", protocol.StatusDone, 0)
		add("job-2", protocol.StatusDone, 10*time.Minute)
		add("job-3", protocol.StatusCancelled, 0)
		add("job-4", "", 0)
		check := func(what string, want float64) {
			t.Helper()
			p := c.Partitions[c.TeamPartition[c.TeamIndex["red"]]]
			for _, g := range []int{cluster.TeamGroup(c.TeamIndex["red"]), c.scheduler.ClassGroups["c"]} {
				if got := p.DoneTallies[g].Value(now); math.Abs(got-want) > 0.01 {
					t.Errorf("%s: %v completed jobs of group %d, want %v", what, got, g, want)
				}
			}
		}
		c.watcher.ApplyListing(items, 3)
		check("listed", 1+1/math.E)
		c.watcher.ApplyListing(items, 3)
		check("listed again", 1+1/math.E)
		for range 2 {
			c.watcher.ApplyEvent(protocol.Event{Put: storage.FinalKey("job-4"), Version: 4,
				Value: storage.Encode(storage.FinalRecord{Status: protocol.StatusDone, AtMS: now.UnixMilli()})})
		}
		check("followed", 2+1/math.E)
	})
}

// The cluster leader receives only the first demands of a long backlog and scales out for these.
// They must include demands of starved groups, but also of other groups.
func TestDemandsOfStarvedGroupsComeFirst(t *testing.T) {
	t.Parallel()
	starvedMax := peering.MinDemandsLimit / peering.StarvedDemandsDivisor
	var list []*cluster.Job
	for i := range 300 {
		list = append(list, &cluster.Job{ClassGroup: 7, Pending: []int{i}})
	}
	for range 100 {
		list = append(list, &cluster.Job{ClassGroup: 8, Pending: []int{1}})
	}
	state := &cluster.FairShareState{}
	if got := state.StarvedFirst(list, starvedMax); !slices.Equal(got, list) {
		t.Error("jobs are reordered though no group is starved")
	}
	state.Shares = make([]float64, 9)
	state.Shares[8] = 0.1
	got := state.StarvedFirst(list, starvedMax)
	if len(got) != len(list) {
		t.Fatalf("StarvedFirst returned %d of %d jobs, want all", len(got), len(list))
	}
	for i, j := range got {
		if i < 340 && (j.ClassGroup == 8) != (i < starvedMax) {
			t.Fatalf("a job of class group %d is at position %d, want the jobs of group 8 first", j.ClassGroup, i)
		}
	}
}
