package overview

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// wideNameWidth is the width of names in the output of Delegations, in characters.
const wideNameWidth = 16

// Delegations formats the number of machines connected to each controller, the delegates of each
// partition, and the most recent moves of shards.
func Delegations(rows []Row) string {
	l := new(listing)
	l.addConnections(rows)
	l.addDelegates(rows)
	l.addMoves(rows)
	return l.text.String()
}

// listing collects lines of any length.
type listing struct{ text strings.Builder }

func (l *listing) add(format string, args ...any) {
	fmt.Fprintln(&l.text, strings.TrimRight(fmt.Sprintf(format, args...), " "))
}

// addConnections lists the number of machines that are connected to each controller.
func (l *listing) addConnections(rows []Row) {
	l.add("%-16s %-12s %9s %6s %5s", "CONTROLLER", "ZONE", "MACHINES", "ROOM", "FULL")
	for _, row := range rows {
		view := row.View
		if view == nil {
			l.add("%-16s %s", truncate(row.Addr, wideNameWidth), row.Err)
			continue
		}
		percent := 100 * float64(view.ConnectedMachines) / float64(max(1, view.Capacity))
		l.add("%-16s %-12s %9d %6d %4.0f%%", truncate(view.Controller, wideNameWidth), truncate(view.Zone, nameWidth), view.ConnectedMachines, view.Capacity, percent)
	}
}

// addDelegates lists the leader, the standby and the delegates of each partition.
func (l *listing) addDelegates(rows []Row) {
	standbys := map[int]string{}
	for _, row := range rows {
		if row.View == nil {
			continue
		}
		for _, replica := range row.View.Replicas {
			standbys[replica.Partition] = row.View.Controller
		}
	}
	l.add("")
	l.add("%4s %-16s %-16s %9s  %s", "PART", "OWNER", "STANDBY", "MACHINES", "CARRIED BY")
	for _, row := range rows {
		if row.View == nil {
			continue
		}
		for i := range row.View.Partitions {
			p := &row.View.Partitions[i]
			standby := cmp.Or(standbys[p.Index], "none")
			l.add("%4d %-16s %-16s %9d  %s", p.Index, truncate(row.View.Controller, wideNameWidth), truncate(standby, wideNameWidth), p.Machines, describeDelegates(p))
		}
	}
}

func describeDelegates(p *Partition) string {
	var delegates []string
	for _, d := range p.Delegates {
		text := fmt.Sprintf("%s: %d in %d shares", d.Controller, d.Machines, d.Shards)
		if !d.Active {
			text += " (has not asked yet)"
		}
		delegates = append(delegates, text)
	}
	return cmp.Or(strings.Join(delegates, ", "), "nobody else")
}

// addMoves lists the most recent moves of shards by controller, the newest first.
func (l *listing) addMoves(rows []Row) {
	const leader = "its owner"
	l.add("")
	l.add("%7s %4s %5s  %s", "AGO", "PART", "SHARE", "MOVED")
	moved := false
	for _, row := range rows {
		if row.View == nil {
			continue
		}
		for _, move := range slices.Backward(row.View.Moves) {
			moved = true
			l.add("%7s %4d %5d  %s to %s: %s", formatDuration(move.AgoS), move.Partition, move.Shard, cmp.Or(move.From, leader), cmp.Or(move.To, leader), move.Reason)
		}
	}
	if !moved {
		l.add("no share has moved")
	}
}
