package cluster

import (
	"time"

	"micaspindle/internal/coordination/fairshare"
)

// FairShareState is what is reserved for the groups of a partition's jobs that are starved.
// A group is a team or a class; groups are numbered from 1, the teams first, then the
// classes as they are met.
type FairShareState struct {
	// DecidedAt is when the reservations were last decided.
	DecidedAt time.Time
	// Shares are the fractions of the machines that groups get, by group; nil: no group is
	// starved.
	Shares []float64
	// ReservedQuotas is what is reserved of the teams' limits, by team index; nil: nothing is.
	ReservedQuotas [][]fairshare.ReservedQuota
	// WithinReservation are the classes of teams that run no more than what is reserved for
	// them of the team's limit.
	WithinReservation map[TeamClass]bool
}

// TeamClass is the work of one class in one team: the team's index and the class's group.
type TeamClass struct{ Team, ClassGroup int }

// Share is the fraction of the machines that a group gets; 0: it is not starved.
func (f *FairShareState) Share(group int) float64 {
	if group >= len(f.Shares) {
		return 0
	}
	return f.Shares[group]
}

// Starved says whether something is reserved for one of a job's groups.
func (f *FairShareState) Starved(j *Job) bool {
	return f.Share(j.ClassGroup) > 0 || f.Share(TeamGroup(j.Team)) > 0
}

// ReservedQuotasOf is what is reserved of a team's limit.
func (f *FairShareState) ReservedQuotasOf(team int) []fairshare.ReservedQuota {
	if f.ReservedQuotas == nil {
		return nil
	}
	return f.ReservedQuotas[team]
}

// ReservationOf is the group whose reservation an attempt runs in; fairshare.NoGroup: it
// runs in none.
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

// StarvedFirst puts at most limit jobs of starved groups ahead of the others.
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

// TeamGroup is the fair-share group of a team.
func TeamGroup(team int) int { return team + 1 }

// Groups are the fair-share groups of a job: its team's and its class's.
func (j *Job) Groups() [2]int { return [2]int{TeamGroup(j.Team), j.ClassGroup} }
