package cluster

import (
	"time"

	"micaspindle/internal/coordination/fairshare"
)

// FairShareState is what is kept for groups of a part's work that are behind.
type FairShareState struct {
	DecidedAt time.Time
	// Shares are the parts of the machines that groups get; nil: none is behind.
	Shares []float64
	// Quota is what is kept of teams' limits, by team; within says which classes of
	// which teams run no more than what is kept for them of the limit.
	Quota         [][]fairshare.ReservedQuota
	WithinReserve map[TeamClass]bool
}

type TeamClass struct{ Team, ClassGroup int }

// Share is what a group gets.
func (f *FairShareState) Share(group int) float64 {
	if group >= len(f.Shares) {
		return 0
	}
	return f.Shares[group]
}

// Starved says whether a job is of a group that something is kept for.
func (f *FairShareState) Starved(j *Job) bool {
	return f.Share(j.ClassGroup) > 0 || f.Share(TeamGroup(j.Team)) > 0
}

func (f *FairShareState) QuotaOf(team int) []fairshare.ReservedQuota {
	if f.Quota == nil {
		return nil
	}
	return f.Quota[team]
}

// ReservationOf is the group for which the room is kept that an attempt runs in.
func (f *FairShareState) ReservationOf(a *Attempt) int {
	j := a.Job
	switch kept := a.Machine.ReservedFor; {
	case f.Shares == nil:
		return fairshare.NoGroup
	case kept != fairshare.NoGroup && (kept == j.ClassGroup || kept == TeamGroup(j.Team)):
		return kept
	case f.WithinReserve[TeamClass{Team: j.Team, ClassGroup: j.ClassGroup}]:
		return j.ClassGroup
	}
	return fairshare.NoGroup
}

// StarvedFirst puts at most so many jobs of groups that are behind ahead of the others.
func (f *FairShareState) StarvedFirst(list []*Job, most int) []*Job {
	if f.Shares == nil {
		return list
	}
	var ahead, others []*Job
	for _, j := range list {
		if len(ahead) < most && len(j.Pending) > 0 && f.Starved(j) {
			ahead = append(ahead, j)
		} else {
			others = append(others, j)
		}
	}
	return append(ahead, others...)
}

// TeamGroup is the group of a team. Groups are numbered from 1: the teams, then the classes
// as they come.
func TeamGroup(team int) int { return team + 1 }

func (j *Job) Groups() [2]int { return [2]int{TeamGroup(j.Team), j.ClassGroup} }
