package partition

import (
	"testing"

	"micaspindle/internal/settings"
)

func TestTeamsAreBalancedOverPartitions(t *testing.T) {
	teams := []settings.Team{{CPUs: 10}, {CPUs: 100}, {CPUs: 50}, {CPUs: 50}, {CPUs: 10}}
	load := make([]float64, 2)
	for i, p := range Assign(teams, 2) {
		load[p] += teams[i].CPUs
	}
	if load[0] != 110 || load[1] != 110 {
		t.Errorf("guaranteed CPUs by partition: %v, want 110 each", load)
	}
	mixed := []settings.Team{{}, {CPUs: 10, CPUsMax: 20}, {}, {CPUsMax: 8}, {CPUs: 4}}
	got := Assign(mixed, 3)
	if got[0] != got[2] {
		t.Errorf("partitions by team: %v, want the same for teams 0 and 2, which have neither a guarantee nor a limit", got)
	}
	if got[1] == got[4] || got[3] == got[1] || got[0] == got[1] {
		t.Errorf("partitions by team: %v, want none of the teams 0, 3 and 4 in the partition of team 1", got)
	}
}
