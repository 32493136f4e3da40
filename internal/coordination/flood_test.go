package coordination

import (
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peering"

	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// Users who poll many waiting jobs used up every request that the state service
// grants; renewals were refused with the rest, so that parts changed hands all the
// time (docs/incidents/night-flood.md).
func TestPollsDoNotCostTheClaims(t *testing.T) {
	t.Parallel()
	simulatePrepared(t, 51, func(w *world) {
		w.set.Params.State.RPS = 60
		w.state.Requests = rate.NewLimiter(60, 60)
		w.cloud.Capacity = 0 // nothing runs
	}, func(w *world) {
		time.Sleep(2 * time.Second)
		const jobs = 300
		for i := range jobs {
			w.submit(spec(fmt.Sprintf("job-%d", i), 2, "green"))
		}
		claims := func() string {
			w.mu.Lock()
			defer w.mu.Unlock()
			return fmt.Sprint(w.state.Items[storage.LeaseKey(0)].Version, w.state.Items[storage.LeaseKey(1)].Version,
				w.state.Items[storage.LeaseKey(2)].Version, w.state.Items[storage.LeadershipKey].Version)
		}
		before, answered, asked := claims(), 0, 0
		for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
			for i := range jobs / 2 { // 150 a second, of 60 requests
				w.group.Go(func() {
					st := w.poll(fmt.Sprintf("n%d", i%3), fmt.Sprintf("job-%d", i))
					w.mu.Lock()
					defer w.mu.Unlock()
					if asked++; st == protocol.StatusQueued {
						answered++
					}
				})
			}
		}
		time.Sleep(5 * time.Second)
		if now := claims(); now != before {
			t.Errorf("claims changed hands: %s, then %s", before, now)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if answered < asked*95/100 {
			t.Errorf("%d of %d polls answered", answered, asked)
		}
	})
}

// flood is one kind of work coming so many times as often as else.
type flood struct {
	class, team string // empty: any
	times       int
}

func (f flood) of(class, team string) int {
	if (f.class == "" || f.class == class) && (f.team == "" || f.team == team) {
		return f.times
	}
	return 1
}

// served counts what became of a group's jobs.
type served struct{ jobs, started, done int }

// floodWorld is a fleet of which the large class's work fits one type only; about a
// third of it is in use as long as nothing floods.
func floodWorld(w *world) {
	w.cloud.Capacity, w.cloud.ByType = 22, map[string]int{"small": 12, "big": 10}
	w.set.Params.Teams = []settings.Team{{Name: "red", CPUs: 60, CPUsMax: 400}, {Name: "blue", CPUs: 60, CPUsMax: 400}, {Name: "green"}}
	w.set.Params.State.RPS, w.set.Params.State.WriteRPS = 600, 200
}

// playFlood plays a flood of so long, with losses of owners in it, waits, and tells what
// became of each class and team.
func playFlood(w *world, f flood, lasts, wait int) map[string]*served {
	groups := map[string]*served{}
	started := map[string]map[int]bool{}
	w.mu.Lock()
	w.runTime = func(job string, task int, _ string) time.Duration {
		if started[job] == nil {
			started[job] = map[int]bool{}
		}
		started[job][task] = true
		return settings.Seconds(w.jobs[job].spec.EstimateS)
	}
	w.mu.Unlock()
	time.Sleep(2 * time.Second)
	next := 0
	submit := func(class, team string) {
		s := spec(fmt.Sprintf("job-%d", next), 8, team)
		s.Class, s.MemGB, s.Image = class, 1, "img-"+class
		switch class {
		case "urgent":
			s.Urgency, s.CPUs, s.DeadlineS, s.EstimateS = protocol.High, 2, 25, 6
		case "large":
			s.CPUs, s.Tasks, s.DeadlineS, s.EstimateS = 16, 2, 60, 8
		case "small":
			s.Urgency, s.CPUs, s.Tasks, s.DeadlineS, s.EstimateS = protocol.Low, 1, 4, 0, 5
		}
		next++
		w.group.Go(func() { w.submit(s) })
	}
	const begins = 20
	for second := range begins + lasts {
		for i, class := range []string{"urgent", "large", "small"} {
			team := w.set.Params.Teams[(second+i)%len(w.set.Params.Teams)].Name
			n := 1
			if second >= begins {
				n = f.of(class, team)
			}
			if second%2 == 0 {
				for range n {
					submit(class, team)
				}
			}
		}
		switch second {
		case 40, 70:
			w.kill(fmt.Sprintf("n%d", second/40))
		case 43, 72:
			w.start(fmt.Sprintf("n%d", second/43))
		}
		time.Sleep(time.Second)
	}
	time.Sleep(time.Duration(wait) * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, uj := range w.jobs {
		if uj.accepted.IsZero() || time.Since(uj.accepted) < 45*time.Second {
			continue // nobody expects it to be under way
		}
		for _, group := range []string{"class " + uj.spec.Class, "team " + uj.spec.Team} {
			g := groups[group]
			if g == nil {
				g = &served{}
				groups[group] = g
			}
			g.jobs++
			if len(started[id]) == uj.spec.Tasks {
				g.started++
			}
			if len(uj.tasksDone) == uj.spec.Tasks {
				g.done++
			}
		}
	}
	return groups
}

// Half of every class and of every team is served, whatever floods.
func TestHalfIsServedWhateverFloods(t *testing.T) {
	t.Parallel()
	for seed, f := range []flood{{"urgent", "", 4}, {"urgent", "", 10}, {"urgent", "", 30}, {"large", "", 4}, {"large", "", 10},
		{"small", "", 10}, {"small", "", 30}, {"", "red", 10}, {"", "green", 10}, {"", "green", 30}} {
		t.Run(fmt.Sprintf("%s%s by %d, seed %d", f.class, f.team, f.times, seed), func(t *testing.T) {
			t.Parallel()
			simulatePrepared(t, uint64(300+seed), floodWorld, func(w *world) {
				groups := playFlood(w, f, 60, 180+6*f.times) // what a fleet as large needs for it
				for _, name := range slices.Sorted(maps.Keys(groups)) {
					g := groups[name]
					t.Logf("%s: of %d jobs %.2f started, %.2f done", name, g.jobs, float64(g.started)/float64(g.jobs), float64(g.done)/float64(g.jobs))
					if 2*g.started < g.jobs || 2*g.done < g.jobs {
						t.Errorf("%s: of %d jobs %d started, %d done", name, g.jobs, g.started, g.done)
					}
				}
			})
		})
	}
}

// The same while the flood goes on: what it starves does not have to wait for its end.
func TestAFloodWithoutAnEndLeavesRoomForOthers(t *testing.T) {
	t.Parallel()
	for seed, c := range []struct {
		flood
		what  string
		limit float64 // of team red
		needy string
	}{
		{flood{"urgent", "", 30}, "machines", 400, "class large"},
		{flood{"urgent", "red", 60}, "a team's limit", 256, "class large"},
		{flood{"", "green", 30}, "one team", 400, "team blue"},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			prepare := func(w *world) {
				floodWorld(w)
				w.set.Params.Teams[0].CPUsMax = c.limit
				if c.limit < 400 {
					w.set.Params.Teams = w.set.Params.Teams[:1]
				}
			}
			simulatePrepared(t, uint64(400+seed), prepare, func(w *world) {
				g := playFlood(w, c.flood, 150, 0)[c.needy]
				t.Logf("%s: of %d jobs %d started, %d done", c.needy, g.jobs, g.started, g.done)
				if 2*g.started < g.jobs {
					t.Errorf("%s: of %d jobs %d started", c.needy, g.jobs, g.started)
				}
			})
		})
	}
}

// What was done counts from the records, so that a controller that starts, or that
// listed them anew, counts as one that saw it; and each job once.
func TestWhatWasDoneIsCountedFromTheRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		set := newWorld(t, 1).set
		set.Label = "n0"
		c := newTestController(t.Context(), &set, settings.DefaultOperator())
		now := time.Now()
		var items []protocol.Item
		add := func(id, status string, ago time.Duration) {
			s := spec(id, 1, "red")
			s.SubmittedMS = now.Add(-ago - time.Minute).UnixMilli()
			items = append(items, protocol.Item{Key: storage.JobKey(id), Value: storage.Encode(s), Version: 2})
			if status != "" {
				items = append(items, protocol.Item{Key: storage.FinalKey(id), Version: 3,
					Value: storage.Encode(storage.Final{Status: status, AtMS: now.Add(-ago).UnixMilli()})})
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
					t.Errorf("%s: %v of group %d done, want %v", what, got, g, want)
				}
			}
		}
		c.watcher.ApplyListing(items, 3)
		check("listed", 1+1/math.E)
		c.watcher.ApplyListing(items, 3)
		check("listed again", 1+1/math.E)
		for range 2 {
			c.watcher.ApplyEvent(protocol.Event{Put: storage.FinalKey("job-4"), Version: 4,
				Value: storage.Encode(storage.Final{Status: protocol.StatusDone, AtMS: now.UnixMilli()})})
		}
		check("followed", 2+1/math.E)
	})
}

// The leader rents for what is told it first, and hears of a part of a long backlog
// only: what is behind must be in it, yet not be all of it.
func TestDemandsOfWhatIsBehindComeFirst(t *testing.T) {
	t.Parallel()
	behindMost := peering.DemandsMin / peering.StarvedDemandsShare
	var list []*cluster.Job
	for i := range 300 {
		list = append(list, &cluster.Job{ClassGroup: 7, Pending: []int{i}})
	}
	for range 100 {
		list = append(list, &cluster.Job{ClassGroup: 8, Pending: []int{1}})
	}
	f := &cluster.FairShareState{}
	if got := f.StarvedFirst(list, behindMost); !slices.Equal(got, list) {
		t.Error("another order though nothing is behind")
	}
	f.Shares = make([]float64, 9)
	f.Shares[8] = 0.1
	got := f.StarvedFirst(list, behindMost)
	if len(got) != len(list) {
		t.Fatalf("%d jobs of %d", len(got), len(list))
	}
	for i, j := range got {
		if i < 340 && (j.ClassGroup == 8) != (i < behindMost) {
			t.Fatalf("class %d at %d", j.ClassGroup, i)
		}
	}
}
