package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// MaxClassGroups is the maximum number of classes with a fair-share group, and of classes with a
// correction of their run times, since users choose class names freely. A class takes up to 300 bytes
// of memory.
const MaxClassGroups = 1000

// ClassGroup returns the fair-share group of a class. A new class gets the next number, or
// fairshare.NoGroup once there are MaxClassGroups classes.
func (s *Scheduler) ClassGroup(class string) int {
	if group, known := s.ClassGroups[class]; known {
		return group
	}
	if len(s.ClassGroups) >= MaxClassGroups {
		s.bounds.ReportExceeded(telemetry.Classes, 1)
		return fairshare.NoGroup
	}
	group := len(s.Settings.Params.Teams) + len(s.ClassGroups) + 1
	s.ClassGroups[class] = group
	return group
}

// CountDoneJob adds a job that was done at the given time to the tallies of its two groups.
func (s *Scheduler) CountDoneJob(partition int, groups [2]int, at time.Time) {
	now := time.Now()
	tallies := s.Partitions[partition].DoneTallies
	for _, group := range groups {
		tally := tallies[group]
		if tally == nil {
			tally = &fairshare.Tally{}
			tallies[group] = tally
		}
		tally.Add(at, now)
	}
}

// ResetDoneCounts clears the counts of all partitions, before the done jobs of a new listing are
// counted.
func (s *Scheduler) ResetDoneCounts() {
	for _, partition := range s.Partitions {
		clear(partition.DoneTallies)
	}
}

// CountListedJob counts a job of a listing if it is done, since it may have ended while this
// controller was not watching the records. raw is the job's record.
func (s *Scheduler) CountListedJob(id string, raw []byte) {
	if s.FinalStates[id] != protocol.StatusDone {
		return
	}
	var spec protocol.JobClassAndTeam
	if storage.Decode(raw, &spec) != nil {
		return
	}
	team, known := s.TeamIndex[spec.Team]
	if !known {
		return
	}
	groups := [2]int{cluster.TeamGroup(team), s.ClassGroup(spec.Class)}
	s.CountDoneJob(s.TeamPartition[team], groups, s.ListedEndTimes[id])
}
