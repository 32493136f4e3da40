// Package fairshare decides what is reserved for classes of jobs, and for teams, that are
// starved: a bounded share of the machines that their work fits, against any urgency and any
// flood of others. It is a pure function of a view of one partition.
//
// A group is a class or a team; a job belongs to one of each. How starved a group is follows
// from how much of what was accepted of it still waits though it has waited long, so it is
// counted from the records and survives a failover.
package fairshare

import (
	"slices"
	"time"
)

// NoGroup is no group; groups are numbered from 1.
const NoGroup = 0

const (
	// MaxReservedShare is the share of the machines of a type, and of a team's limit, that
	// may be reserved, for all groups together.
	MaxReservedShare = 0.5
	// minStarvedShare is how much of a group may be starved without anything being reserved
	// for it.
	minStarvedShare = 0.05
	// fullStarvedShare is from where on a group gets all that it may: what half of
	// everything being served asks for, with as much to spare.
	fullStarvedShare = 0.25
)

const (
	// minStarvation is the least time that a job with a deadline waits until it is starved.
	minStarvation = 30 * time.Second
	// starvationWithoutDeadline is the same for a job without a deadline.
	starvationWithoutDeadline = 2 * minStarvation
	// starvationShare is the share of the time that a job has, after which it is starved.
	starvationShare = 0.5
)

// StarvationS is how many seconds a job waits until it is starved. allowedS is how many it has
// from its submission until it should be done, 0: it has no deadline.
func StarvationS(allowedS float64) float64 {
	if allowedS <= 0 {
		return starvationWithoutDeadline.Seconds()
	}
	return max(minStarvation.Seconds(), starvationShare*allowedS)
}

// Group counts the jobs of a class or a team.
type Group struct {
	// Open is how many unfinished jobs it has.
	Open float64
	// Starved is how many of these are starved: of each, the share of its tasks that wait.
	Starved float64
	// Done is how many were done lately, see Tally.
	Done float64
}

// StarvedShare is the share of a group's jobs that are starved.
func (g Group) StarvedShare() float64 {
	if g.Starved <= 0 {
		return 0
	}
	return g.Starved / max(g.Starved, g.Open+g.Done)
}

// BeyondAverage is a group with only as much starved as exceeds the average of all: what hits
// every team alike is no reason to reserve machines for each of them.
func (g Group) BeyondAverage(all Group) Group {
	g.Starved = max(0, g.Starved-all.StarvedShare()*(g.Open+g.Done))
	return g
}

// reservedShare is the share of the machines that the group may get.
func (g Group) reservedShare() float64 {
	excess := (g.StarvedShare() - minStarvedShare) / (fullStarvedShare - minStarvedShare)
	return MaxReservedShare * min(1, max(0, excess))
}

// ReservedShares are the shares of the machines that groups may get, nil if none is starved.
func ReservedShares(groups []Group) []float64 {
	if !slices.ContainsFunc(groups, func(g Group) bool { return g.reservedShare() > 0 }) {
		return nil
	}
	shares := make([]float64, len(groups))
	for i, group := range groups {
		shares[i] = group.reservedShare()
	}
	return shares
}
