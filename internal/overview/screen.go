package overview

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/telemetry"
)

const (
	// Widths of columns, in characters. Longer texts are truncated.
	nameWidth = 12
	zoneWidth = 9
	teamWidth = 24
	// addressWidth is the width of the address of a controller that does not answer.
	addressWidth = 22
	// maxStateSilenceS is the time without an answer, in seconds, after which the state store is
	// shown as unreachable.
	maxStateSilenceS = 2
)

// Screen formats all rows as a text of at most width columns and height lines.
func Screen(rows []Row, now time.Time, width, height int) string {
	s := &screen{width: width, height: height}
	s.addTitle(rows, now)
	s.addControllers(rows)
	c := summarize(rows)
	s.addPartitions(c)
	s.addWaits(c.waits)
	s.addTeams(c.teams)
	return s.text()
}

// clusterSummary combines the views of all controllers that answered.
type clusterSummary struct {
	// partitions are sorted by number.
	partitions []Partition
	// leaders and standbys are keyed by partition. The text of a standby includes the lag of its
	// replica.
	leaders, standbys map[int]string
	// teams are sorted by the number of waiting tasks, highest first.
	teams []Team
	waits []telemetry.Quantiles
}

func summarize(rows []Row) *clusterSummary {
	c := &clusterSummary{leaders: map[int]string{}, standbys: map[int]string{}}
	for _, row := range rows {
		if row.View == nil {
			continue
		}
		for _, partition := range row.View.Partitions {
			c.partitions = append(c.partitions, partition)
			c.leaders[partition.Index] = row.View.Controller
		}
		for i := range row.View.Replicas {
			replica := &row.View.Replicas[i]
			c.standbys[replica.Partition] = describeStandby(row.View.Controller, replica)
		}
		c.teams = append(c.teams, row.View.Teams...)
		c.waits = append(c.waits, row.View.Waits...)
	}
	slices.SortFunc(c.partitions, func(a, b Partition) int { return cmp.Compare(a.Index, b.Index) })
	slices.SortFunc(c.teams, func(a, b Team) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.CPUs, a.CPUs), cmp.Compare(a.Name, b.Name))
	})
	c.waits = worstWaits(c.waits)
	return c
}

func describeStandby(controller string, replica *Replica) string {
	if !replica.Complete {
		return truncate(controller, nameWidth) + " reading"
	}
	return fmt.Sprintf("%s %s behind", truncate(controller, nameWidth), formatShortDuration(replica.BehindS))
}

// worstWaits merges the quantiles of all controllers. Counts are added; of each quantile the highest
// value is kept.
func worstWaits(all []telemetry.Quantiles) []telemetry.Quantiles {
	var merged []telemetry.Quantiles
	for _, q := range all {
		i := slices.IndexFunc(merged, func(known telemetry.Quantiles) bool { return known.What == q.What })
		if i < 0 {
			merged = append(merged, q)
			continue
		}
		worst := &merged[i]
		worst.Count += q.Count
		worst.P50, worst.P99, worst.Max = max(worst.P50, q.P50), max(worst.P99, q.P99), max(worst.Max, q.Max)
	}
	return merged
}

// screen collects lines and truncates them to its size.
type screen struct {
	width, height int
	lines         []string
}

func (s *screen) add(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

// text returns the lines that fit, each truncated to the width.
func (s *screen) text() string {
	lines := s.lines[:min(len(s.lines), s.height)]
	for i, line := range lines {
		lines[i] = strings.TrimRight(truncate(line, s.width), " ")
	}
	return strings.Join(lines, "\n")
}

func (s *screen) addTitle(rows []Row, now time.Time) {
	leader, answering := "nobody", 0
	for _, row := range rows {
		if row.View == nil {
			continue
		}
		answering++
		if row.View.ClusterLeader {
			leader = row.View.Controller
		}
	}
	s.add("micaspindle  %d of %d controllers answer, %s leads  %s", answering, len(rows), leader, now.UTC().Format("15:04:05 UTC"))
}

func (s *screen) addControllers(rows []Row) {
	s.add("")
	s.add("%-12s %-9s %7s %5s %7s %6s %13s %s", "CONTROLLER", "ZONE", "UP", "JOBS", "ENDED", "RENTS", "WRITES/S", "STATE")
	for _, row := range rows {
		view := row.View
		if view == nil {
			s.add("%-22s %s", truncate(row.Addr, addressWidth), row.Err)
			continue
		}
		s.add("%-12s %-9s %7s %5d %7d %6d %6.1f/%-6.1f %s", truncate(view.Controller, nameWidth), truncate(view.Zone, zoneWidth), formatDuration(view.UptimeS),
			view.UnfinishedJobs, view.EndedJobs, view.PendingScaleOuts, view.WritesWanted, view.WritesGranted, view.state())
	}
}

// state returns the most important problem of a controller, or "ok".
func (v *View) state() string {
	switch {
	case v.StateSilenceS > maxStateSilenceS:
		return "no state " + formatDuration(v.StateSilenceS)
	case !v.Ready:
		return "not ready"
	case v.CloudUnavailable:
		return "no cloud"
	}
	return "ok"
}

func (s *screen) addPartitions(c *clusterSummary) {
	s.add("")
	s.add("%4s %-12s %8s %5s %6s %4s %5s %7s %7s %7s", "PART", "OWNER", "MACHINES", "IDLE", "COMING", "BAD", "CPUS", "RUNNING", "WAITING", "OLDEST")
	for i := range c.partitions {
		p := &c.partitions[i]
		leader := c.leaders[p.Index]
		if !p.Ready {
			leader += " (taking over)"
		}
		s.add("%4d %-12s %8d %5d %6d %4d %4.0f%% %7d %7d %7s", p.Index, truncate(leader, nameWidth), p.Machines, p.Idle, p.Starting, p.Unusable,
			100*p.CPUUtilization, p.Running, p.Waiting, formatDuration(p.OldestWaitS))
	}
	if len(c.partitions) == 0 {
		s.add("no part is owned by a controller that answers")
		return
	}
	s.addStandbys(c)
	s.addDelegates(c)
}

// addStandbys lists the standby of each partition with the lag of its replica.
func (s *screen) addStandbys(c *clusterSummary) {
	var items []string
	for i := range c.partitions {
		partition := c.partitions[i].Index
		items = append(items, fmt.Sprintf("  %d: %s", partition, cmp.Or(c.standbys[partition], "none")))
	}
	s.lines = append(s.lines, wrapItems("STANDBYS", items, s.width)...)
}

// addDelegates lists the delegates of each partition, if there are any.
func (s *screen) addDelegates(c *clusterSummary) {
	var items []string
	for i := range c.partitions {
		for _, delegate := range c.partitions[i].Delegates {
			items = append(items, fmt.Sprintf("  %d: %d by %s", c.partitions[i].Index, delegate.Machines, truncate(delegate.Controller, nameWidth)))
		}
	}
	if len(items) > 0 {
		s.lines = append(s.lines, wrapItems("CARRIED ", items, s.width)...)
	}
}

func (s *screen) addWaits(waits []telemetry.Quantiles) {
	s.add("")
	s.add("%-12s %8s %9s %9s %9s", "WAIT FOR", "COUNT", "HALF IN", "99% IN", "LONGEST")
	for _, w := range waits {
		s.add("%-12s %8d %9s %9s %9s", w.What, w.Count, formatShortDuration(w.P50), formatShortDuration(w.P99), formatShortDuration(w.Max))
	}
}

// addTeams lists as many teams as there are lines left, and the number of the others.
func (s *screen) addTeams(teams []Team) {
	s.add("")
	s.add("%-24s %4s %9s %9s %9s %7s %7s", "TEAM", "PART", "CPUS", "HAS", "AT MOST", "RUNNING", "WAITING")
	for i := range teams {
		if left := len(teams) - i; len(s.lines) >= s.height-1 && left > 1 {
			s.add("and %d teams more", left)
			break
		}
		team := &teams[i]
		limit := "-"
		if team.Limit > 0 {
			limit = fmt.Sprintf("%.0f", team.Limit)
		}
		s.add("%-24s %4d %9.0f %9.0f %9s %7d %7d", truncate(team.Name, teamWidth), team.Partition, team.CPUs, team.Guarantee, limit, team.Running, team.Waiting)
	}
}
