package cluster

import (
	"time"

	"micaspindle/internal/coordination/fairshare"
)

// FairShareState holds the reservations for the starved fair-share groups of a partition. A
// group is a team or a class. Groups are numbered from 1: first the teams, in the order of
// the settings, then the classes, in the order in which this controller first read a job of
// each class.
type FairShareState struct {
	// ComputedAt is the time at which the reservations were last computed.
	ComputedAt time.Time
	// Shares are the fractions of the machines that are reserved for groups, by group; nil
	// if no group is starved.
	Shares []float64
	// ReservedQuotas are the reserved parts of the teams' limits, by team index; nil if
	// nothing is reserved.
	ReservedQuotas [][]fairshare.ReservedQuota
	// WithinReservation are the classes whose usage of their team's limit is within the
	// part that is reserved for them.
	WithinReservation map[TeamClass]bool
}

// TeamClass identifies the jobs of one class in one team, by the team's index and the
// class's group.
type TeamClass struct{ Team, ClassGroup int }

// Share returns the fraction of the machines that is reserved for a group, or 0 if the
// group is not starved.
func (f *FairShareState) Share(group int) float64 {
	if group >= len(f.Shares) {
		return 0
	}
	return f.Shares[group]
}

// Starved reports whether one of a job's groups is starved.
func (f *FairShareState) Starved(j *Job) bool {
	return f.Share(j.ClassGroup) > 0 || f.Share(TeamGroup(j.Team)) > 0
}

// ReservedQuotasOf returns the reserved parts of a team's limit.
func (f *FairShareState) ReservedQuotasOf(team int) []fairshare.ReservedQuota {
	if f.ReservedQuotas == nil {
		return nil
	}
	return f.ReservedQuotas[team]
}

// ReservationOf returns the group whose reservation an attempt counts toward, or
// fairshare.NoGroup if there is none.
func (f *FairShareState) ReservationOf(a *Attempt) int {
	j := a.Job
	switch reservedFor := a.Machine.ReservedFor; {
	case f.Shares == nil:
		return fairshare.NoGroup
	case reservedFor != fairshare.NoGroup && (reservedFor == j.ClassGroup || reservedFor == TeamGroup(j.Team)):
		return reservedFor
	case f.WithinReservation[TeamClass{Team: j.Team, ClassGroup: j.ClassGroup}]:
		return j.ClassGroup
	}
	return fairshare.NoGroup
}

// StarvedFirst moves at most limit jobs to the front of a list: jobs with pending tasks that
// belong to a starved group.
func (f *FairShareState) StarvedFirst(list []*Job, limit int) []*Job {
	if f.Shares == nil {
		return list
	}
	var starved, others []*Job
	for _, j := range list {
		if len(starved) < limit && len(j.Pending) > 0 && f.Starved(j) {
			starved = append(starved, j)
		} else {
			others = append(others, j)
		}
	}
	return append(starved, others...)
}

// TeamGroup returns the fair-share group of a team.
func TeamGroup(team int) int { return team + 1 }

// Groups returns the fair-share groups of a job: its team's and its class's.
func (j *Job) Groups() [2]int { return [2]int{TeamGroup(j.Team), j.ClassGroup} }
