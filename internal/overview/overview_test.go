package overview

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/telemetry"
)

func view(i int) *View {
	v := &View{Controller: fmt.Sprint("spindle-", i), Zone: "windhoek", UptimeS: 100_000, Ready: true, ClusterLeader: i == 1, UnfinishedJobs: 40, EndedJobs: 123_456, WritesWanted: 12.34, WritesGranted: 80}
	v.Partitions = []Partition{{Index: i, Ready: true, Machines: 798, Idle: 12, CPUUtilization: 0.876, Running: 12_345, Waiting: 99_999, OldestWaitS: 4000}}
	v.Replicas = []Replica{{Partition: 1 - i, Leader: "o", Complete: i == 1, BehindS: 0.4}}
	v.Teams = []Team{{Name: fmt.Sprint("placements-desk-", i), Partition: i, CPUs: 1200, Guarantee: 100, Limit: 2000, Running: 40, Waiting: i}}
	v.Waits = []telemetry.Quantiles{{What: "start", Count: 10, P50: float64(i), P99: 100, Max: 4000}}
	return v
}

func TestScreen(t *testing.T) {
	rows := []Row{{Addr: "a:1", View: view(0)}, {Addr: "a:2", View: view(1)}, {Addr: "a:3", Err: "no controller answered"}}
	rows[0].View.StateSilenceS = 65
	text := Screen(rows, time.Unix(0, 0), 80, 24)
	for _, want := range []string{"2 of 3 controllers answer, spindle-1 leads", "no state 1m05s", "no controller answered",
		"   1 spindle-1         798    12", "STANDBYS  0: spindle-1 0.4s behind  1: spindle-0 reading", "start              20        1s", "placements-desk-1           1      1200       100      2000      40       1"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	rows = rows[:1]
	rows[0].View.Replicas = nil
	if text := Screen(rows, time.Unix(0, 0), 80, 24); !strings.Contains(text, "STANDBYS  0: none") {
		t.Error("no STANDBYS line with none for partition 0:\n" + text)
	}
	if none := Screen(nil, time.Unix(0, 0), 80, 24); !strings.Contains(none, "no part is owned") {
		t.Error("without rows, the text does not say that no part is owned:\n" + none)
	}
}

func TestDelegations(t *testing.T) {
	rows := []Row{{Addr: "a:1", View: view(0)}, {Addr: "a:2", View: view(1)}, {Addr: "a:3", Err: "no controller answered"}}
	rows[0].View.ConnectedMachines, rows[0].View.Capacity = 600, 1100
	rows[0].View.Partitions[0].Delegates = []Delegate{{Controller: "spindle-1", Shards: 4, Machines: 198, Active: true}, {Controller: "spindle-2", Shards: 1, Machines: 40}}
	rows[0].View.Moves = []ShardMove{{Partition: 0, Shard: 3, To: "spindle-1", Reason: "the owner is full", AgoS: 75}, {Partition: 0, Shard: 4, From: "spindle-1", Reason: "its carrier can't go on", AgoS: 5}}
	text := Delegations(rows)
	for _, want := range []string{"spindle-0        windhoek           600   1100   55%", "a:3              no controller answered",
		"   0 spindle-0        spindle-1              798  spindle-1: 198 in 4 shares, spindle-2: 40 in 1 shares (has not asked yet)",
		"   1 spindle-1        spindle-0              798  nobody else",
		"     5s    0     4  spindle-1 to its owner: its carrier can't go on\n  1m15s    0     3  its owner to spindle-1: the owner is full"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	if text := Screen(rows, time.Unix(0, 0), 80, 24); !strings.Contains(text, "CARRIED   0: 198 by spindle-1  0: 40 by spindle-2") {
		t.Error("no CARRIED line with both delegates:\n" + text)
	}
	if text := Delegations(rows[1:2]); !strings.Contains(text, "no share has moved") {
		t.Error("without moves, the text does not say that no share has moved:\n" + text)
	}
}

// The text has at most the requested number of lines and columns, also with long names and many teams.
func TestScreenFitsItsSize(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var rows []Row
		for i := range rng.IntN(12) {
			r := Row{Addr: strings.Repeat("long.", 10) + fmt.Sprint(i)}
			if rng.IntN(3) > 0 {
				r.View = view(i)
				r.View.Controller = strings.Repeat("ö", rng.IntN(40))
				for range rng.IntN(30) {
					r.View.Teams = append(r.View.Teams, Team{Name: "t"})
				}
			} else {
				r.Err = strings.Repeat("error ", 30)
			}
			rows = append(rows, r)
		}
		width, height := 20+rng.IntN(200), 5+rng.IntN(60)
		lines := strings.Split(Screen(rows, time.Now(), width, height), "\n")
		if len(lines) > height {
			t.Errorf("seed %d: %d lines, want at most %d", seed, len(lines), height)
		}
		for _, l := range lines {
			if n := len([]rune(l)); n > width {
				t.Errorf("seed %d: %d columns, want at most %d: %s", seed, n, width, l)
			}
		}
	}
}
