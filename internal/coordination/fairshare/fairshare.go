// Package fairshare decides which machines, and which parts of the teams' limits, are reserved for
// starved classes of jobs and starved teams. Other jobs may not use the reserved parts, whatever
// their urgency or number. All decisions are pure functions of a snapshot of one partition.
//
// A group is a class or a team; each job belongs to one class and one team. Its starved share
// is the share of its accepted jobs that have waited too long. It is computed from the stored records
// and so is preserved in a failover.
package fairshare

import (
	"slices"
	"time"
)

// NoGroup stands for the absence of a group; groups are numbered from 1.
const NoGroup = 0

const (
	// MaxReservedShare is the maximum share of the machines of a type, and of a team's limit,
	// that may be reserved for all groups together.
	MaxReservedShare = 0.5
	// minStarvedShare is the starved share up to which nothing is reserved for a group.
	minStarvedShare = 0.05
	// fullStarvedShare is the starved share from which a group gets MaxReservedShare. It is well
	// below one half, since at least half of a group's jobs should be served.
	fullStarvedShare = 0.25
)

const (
	// minStarvationTime is the shortest time after which a job with a deadline counts as starved.
	minStarvationTime = 30 * time.Second
	// noDeadlineStarvationTime is the time after which a job without a deadline counts as
	// starved.
	noDeadlineStarvationTime = 2 * minStarvationTime
	// starvationFraction is the share of the time from submission to deadline after which a job
	// counts as starved.
	starvationFraction = 0.5
)

// StarvationTimeS returns the time in seconds after which a waiting job counts as starved. allowedS
// is the time in seconds from its submission to its deadline, or 0 if it has no deadline.
func StarvationTimeS(allowedS float64) float64 {
	if allowedS <= 0 {
		return noDeadlineStarvationTime.Seconds()
	}
	return max(minStarvationTime.Seconds(), starvationFraction*allowedS)
}

// Group counts the jobs of a class or a team.
type Group struct {
	// Open is the number of unfinished jobs.
	Open float64
	// Starved is the number of starved unfinished jobs, each weighted by the share of its tasks
	// that are pending.
	Starved float64
	// Done is the number of recently completed jobs; see Tally.
	Done float64
}

// StarvedShare returns the share of the group's open and recently completed jobs that is starved.
func (g Group) StarvedShare() float64 {
	if g.Starved <= 0 {
		return 0
	}
	return g.Starved / max(g.Starved, g.Open+g.Done)
}

// BeyondAverage returns the group with only those starved jobs that exceed the average share of
// all groups: an overload that affects all groups equally is no reason to reserve machines for
// each of them.
func (g Group) BeyondAverage(all Group) Group {
	g.Starved = max(0, g.Starved-all.StarvedShare()*(g.Open+g.Done))
	return g
}

// reservedShare returns the share of the machines that may be reserved for the group.
func (g Group) reservedShare() float64 {
	excess := (g.StarvedShare() - minStarvedShare) / (fullStarvedShare - minStarvedShare)
	return MaxReservedShare * min(1, max(0, excess))
}

// ReservedShares returns the share of the machines that may be reserved for each group, or nil if
// nothing may be reserved.
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
