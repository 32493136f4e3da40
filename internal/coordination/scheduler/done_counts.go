package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// MaxClassGroups bounds the classes that are distinguished, and those whose run times are
// learnt, since users make up their names. It does not grow with the machines; one class
// takes up to 300 bytes.
const MaxClassGroups = 1000

// ClassGroup returns the fair-share group of a class, and numbers a new class. It is
// fairshare.NoGroup once there are ClassGroupsLimit classes.
func (s *Scheduler) ClassGroup(class string) int {
	if group, known := s.ClassGroups[class]; known {
		return group
	}
	if len(s.ClassGroups) >= MaxClassGroups {
		s.bounds.Met(telemetry.Classes, 1)
		return fairshare.NoGroup
	}
	group := len(s.Settings.Params.Teams) + len(s.ClassGroups) + 1
	s.ClassGroups[class] = group
	return group
}

// CountDone counts a job of a partition that was done at a moment, for both of its groups.
func (s *Scheduler) CountDone(partition int, groups [2]int, at time.Time) {
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

// ResetDoneCounts forgets the counts of all partitions, before those of a fresh listing of
// the records are taken in.
func (s *Scheduler) ResetDoneCounts() {
	for _, partition := range s.Partitions {
		clear(partition.DoneTallies)
	}
}

// CountListedJob counts a job of a listing if it is done, since it may have ended while this
// controller was not watching. raw is the job's record.
func (s *Scheduler) CountListedJob(id string, raw []byte) {
	if s.FinalStates[id] != protocol.StatusDone {
		return
	}
	var spec protocol.JobKind
	if storage.Decode(raw, &spec) != nil {
		return
	}
	team, known := s.TeamIndex[spec.Team]
	if !known {
		return
	}
	groups := [2]int{cluster.TeamGroup(team), s.ClassGroup(spec.Class)}
	s.CountDone(s.TeamPartition[team], groups, s.ListedEndTimes[id])
}
