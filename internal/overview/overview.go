// Package overview is how a controller describes itself to operators, and how that
// is shown on a screen. It asks nobody.
package overview

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/telemetry"
)

// View is what one controller says of itself and of the parts that it owns.
type View struct {
	Controller    string  `msgpack:"controller" json:"controller"`
	Zone          string  `msgpack:"zone" json:"zone"`
	AtMS          int64   `msgpack:"at_ms" json:"at_ms"`
	UpS           float64 `msgpack:"up_s" json:"up_s"`
	ClusterLeader bool    `msgpack:"leads" json:"leads"`
	Ready         bool    `msgpack:"ready" json:"ready"`
	// StateSilenceS is how long ago the state service answered last.
	StateSilenceS float64 `msgpack:"state_silent_s" json:"state_silent_s"`
	// WritesWanted of WritesGranted changes a second.
	WritesWanted     float64 `msgpack:"writes_wanted" json:"writes_wanted"`
	WritesGranted    float64 `msgpack:"writes_granted" json:"writes_granted"`
	CloudUnavailable bool    `msgpack:"cloud_rests" json:"cloud_rests"`
	Jobs             int     `msgpack:"jobs" json:"jobs"`
	EndedJobs        int     `msgpack:"ended" json:"ended"`
	PendingScaleOut  int     `msgpack:"renting" json:"renting"`

	// Connected machines keep their connections with this controller, whose sockets have
	// room for Room of them.
	Connected int `msgpack:"connected" json:"connected"`
	Capacity  int `msgpack:"room" json:"room"`
	// Moves are the last shares that changed their carrier, the newest last.
	Moves []ShardMove `msgpack:"moves,omitempty" json:"moves,omitempty"`

	// Replicas are parts of others of which it keeps a copy, as their standby.
	Replicas []Replica `msgpack:"follows,omitempty" json:"follows,omitempty"`

	Partitions []Partition           `msgpack:"parts" json:"parts"`
	Teams      []Team                `msgpack:"teams" json:"teams"`
	Waits      []telemetry.Quantiles `msgpack:"waits" json:"waits"`
}

// Partition is a part that the controller owns.
type Partition struct {
	Part     int  `msgpack:"part" json:"part"`
	Ready    bool `msgpack:"ready" json:"ready"`
	Machines int  `msgpack:"machines" json:"machines"`
	Idle     int  `msgpack:"idle" json:"idle"`
	Starting int  `msgpack:"coming" json:"coming"`
	Unusable int  `msgpack:"bad" json:"bad"` // lost or set aside
	// Reserved are kept for classes or teams that are behind.
	Reserved int     `msgpack:"kept,omitempty" json:"kept,omitempty"`
	Running  int     `msgpack:"running" json:"running"`
	Waiting  int     `msgpack:"waiting" json:"waiting"`
	OldestS  float64 `msgpack:"oldest_s" json:"oldest_s"`
	// Used is the part of the CPUs that is in use.
	Used float64 `msgpack:"used" json:"used"`
	// Delegates are the shares of its machines whose connections others have.
	Delegates []Delegate `msgpack:"carried,omitempty" json:"carried,omitempty"`
}

// Delegate is what another controller carries of a part.
type Delegate struct {
	Controller string `msgpack:"by" json:"by"`
	Shards     int    `msgpack:"shares" json:"shares"`
	Machines   int    `msgpack:"machines" json:"machines"`
	// Active: it has asked to go on of late, so that workers are sent to it.
	Active bool `msgpack:"active" json:"active"`
}

// ShardMove is a share that changed its carrier; From and To "": the part's owner.
type ShardMove struct {
	Part   int     `msgpack:"part" json:"part"`
	Shard  int     `msgpack:"share" json:"share"`
	From   string  `msgpack:"from" json:"from"`
	To     string  `msgpack:"to" json:"to"`
	Reason string  `msgpack:"reason" json:"reason"`
	AgoS   float64 `msgpack:"ago_s" json:"ago_s"`
}

// Replica is a copy of a part that another controller owns.
type Replica struct {
	Part   int    `msgpack:"part" json:"part"`
	Leader string `msgpack:"owner" json:"owner"`
	// Records are run records, Told attempts of which the owner has said when they began.
	Records         int  `msgpack:"records" json:"records"`
	ConfirmedStarts int  `msgpack:"told" json:"told"`
	Complete        bool `msgpack:"whole" json:"whole"`
	// BehindS is how long ago what was taken in last was asked for.
	BehindS float64 `msgpack:"behind_s" json:"behind_s"`
}

// Team is a team's use in a part of the controller's.
type Team struct {
	Name      string  `msgpack:"name" json:"name"`
	Part      int     `msgpack:"part" json:"part"`
	CPUs      float64 `msgpack:"cpus" json:"cpus"`
	Guarantee float64 `msgpack:"guarantee" json:"guarantee"`
	Limit     float64 `msgpack:"limit" json:"limit"`
	Running   int     `msgpack:"running" json:"running"`
	Waiting   int     `msgpack:"waiting" json:"waiting"`
}

// Row is a controller as it was asked: its view, or why there is none.
type Row struct {
	Addr string `json:"addr"`
	View *View  `json:"view,omitempty"`
	Err  string `json:"error,omitempty"`
}

// Screen is what all rows come to, on so many columns and lines.
func Screen(rows []Row, now time.Time, width, height int) string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	leader, up := "nobody", 0
	for _, r := range rows {
		if r.View != nil {
			up++
			if r.View.ClusterLeader {
				leader = r.View.Controller
			}
		}
	}
	add("micaspindle  %d of %d controllers answer, %s leads  %s", up, len(rows), leader, now.UTC().Format("15:04:05 UTC"))
	add("")
	add("%-12s %-9s %7s %5s %7s %6s %13s %s", "CONTROLLER", "ZONE", "UP", "JOBS", "ENDED", "RENTS", "WRITES/S", "STATE")
	for _, r := range rows {
		v := r.View
		if v == nil {
			add("%-22s %s", clip(r.Addr, 22), r.Err)
			continue
		}
		add("%-12s %-9s %7s %5d %7d %6d %6.1f/%-6.1f %s", clip(v.Controller, 12), clip(v.Zone, 9), span(v.UpS), v.Jobs, v.EndedJobs, v.PendingScaleOut, v.WritesWanted, v.WritesGranted, v.state())
	}
	var parts []Partition
	owner, next := map[int]string{}, map[int]string{}
	var teams []Team
	var waits []telemetry.Quantiles
	for _, r := range rows {
		if r.View == nil {
			continue
		}
		for _, p := range r.View.Partitions {
			parts = append(parts, p)
			owner[p.Part] = r.View.Controller
		}
		for _, f := range r.View.Replicas {
			next[f.Part] = fmt.Sprintf("%s %s behind", clip(r.View.Controller, 12), short(f.BehindS))
			if !f.Complete {
				next[f.Part] = clip(r.View.Controller, 12) + " reading"
			}
		}
		teams = append(teams, r.View.Teams...)
		waits = append(waits, r.View.Waits...)
	}
	slices.SortFunc(parts, func(a, b Partition) int { return cmp.Compare(a.Part, b.Part) })
	add("")
	add("%4s %-12s %8s %5s %6s %4s %5s %7s %7s %7s", "PART", "OWNER", "MACHINES", "IDLE", "COMING", "BAD", "CPUS", "RUNNING", "WAITING", "OLDEST")
	for _, p := range parts {
		who := owner[p.Part]
		if !p.Ready {
			who += " (taking over)"
		}
		add("%4d %-12s %8d %5d %6d %4d %4.0f%% %7d %7d %7s", p.Part, clip(who, 12), p.Machines, p.Idle, p.Starting, p.Unusable, 100*p.Used, p.Running, p.Waiting, span(p.OldestS))
	}
	lines = append(lines, standbys(parts, next, width)...)
	lines = append(lines, carriers(parts, width)...)
	if len(parts) == 0 {
		add("no part is owned by a controller that answers")
	}
	worst := worstWaits(waits)
	add("")
	add("%-12s %8s %9s %9s %9s", "WAIT FOR", "COUNT", "HALF IN", "99% IN", "LONGEST")
	for _, w := range worst {
		add("%-12s %8d %9s %9s %9s", w.What, w.Count, short(w.P50), short(w.P99), short(w.Max))
	}
	slices.SortFunc(teams, func(a, b Team) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.CPUs, a.CPUs), cmp.Compare(a.Name, b.Name))
	})
	add("")
	add("%-24s %4s %9s %9s %9s %7s %7s", "TEAM", "PART", "CPUS", "HAS", "AT MOST", "RUNNING", "WAITING")
	for i, t := range teams {
		if left := len(teams) - i; len(lines) >= height-1 && left > 1 {
			add("and %d teams more", left)
			break
		}
		most := "-"
		if t.Limit > 0 {
			most = fmt.Sprintf("%.0f", t.Limit)
		}
		add("%-24s %4d %9.0f %9.0f %9s %7d %7d", clip(t.Name, 24), t.Part, t.CPUs, t.Guarantee, most, t.Running, t.Waiting)
	}
	for i, l := range lines {
		lines[i] = strings.TrimRight(clip(l, width), " ")
	}
	return strings.Join(lines[:min(len(lines), height)], "\n")
}

// state says in a word what is wrong, if something is.
func (v *View) state() string {
	switch {
	case v.StateSilenceS > 2:
		return "no state " + span(v.StateSilenceS)
	case !v.Ready:
		return "not ready"
	case v.CloudUnavailable:
		return "no cloud"
	}
	return "ok"
}

// worstWaits puts what several controllers measured together: the slowest counts.
func worstWaits(all []telemetry.Quantiles) []telemetry.Quantiles {
	var out []telemetry.Quantiles
	for _, q := range all {
		i := slices.IndexFunc(out, func(o telemetry.Quantiles) bool { return o.What == q.What })
		if i < 0 {
			out = append(out, q)
			continue
		}
		o := &out[i]
		o.Count, o.P50, o.P99, o.Max = o.Count+q.Count, max(o.P50, q.P50), max(o.P99, q.P99), max(o.Max, q.Max)
	}
	return out
}

func clip(s string, n int) string {
	if r := []rune(s); len(r) > n {
		return string(r[:n])
	}
	return s
}

// span is a time in a few characters.
func span(s float64) string {
	d := time.Duration(s * float64(time.Second))
	switch {
	case d < time.Minute:
		return fmt.Sprintf("%ds", int(d.Seconds()))
	case d < time.Hour:
		return fmt.Sprintf("%dm%02ds", int(d.Minutes()), int(d.Seconds())%60)
	case d < 48*time.Hour:
		return fmt.Sprintf("%dh%02dm", int(d.Hours()), int(d.Minutes())%60)
	}
	return fmt.Sprintf("%dd", int(d.Hours()/24))
}

// standbys tells who would take each part over, and how far behind it is, on as few
// lines as the width allows.
func standbys(parts []Partition, next map[int]string, width int) (lines []string) {
	line := "STANDBYS"
	for _, p := range parts {
		one := fmt.Sprintf("  %d: %s", p.Part, cmp.Or(next[p.Part], "none"))
		if len([]rune(line+one)) > width && line != "" {
			lines, line = append(lines, line), ""
		}
		line += one
	}
	if len(parts) > 0 {
		lines = append(lines, line)
	}
	return lines
}

// carriers tells which machines' connections others have, if any.
func carriers(parts []Partition, width int) (lines []string) {
	line := "CARRIED "
	for _, p := range parts {
		for _, k := range p.Delegates {
			one := fmt.Sprintf("  %d: %d by %s", p.Part, k.Machines, clip(k.Controller, 12))
			if len([]rune(line+one)) > width && line != "" {
				lines, line = append(lines, line), ""
			}
			line += one
		}
	}
	if line != "CARRIED " {
		lines = append(lines, line)
	}
	return lines
}

// Delegations is what all rows say of who has the machines' connections.
func Delegations(rows []Row) string {
	var out strings.Builder
	add := func(format string, args ...any) {
		fmt.Fprintln(&out, strings.TrimRight(fmt.Sprintf(format, args...), " "))
	}
	standby := map[int]string{}
	for _, r := range rows {
		if r.View != nil {
			for _, f := range r.View.Replicas {
				standby[f.Part] = r.View.Controller
			}
		}
	}
	add("%-16s %-12s %9s %6s %5s", "CONTROLLER", "ZONE", "MACHINES", "ROOM", "FULL")
	for _, r := range rows {
		if v := r.View; v != nil {
			add("%-16s %-12s %9d %6d %4.0f%%", clip(v.Controller, 16), clip(v.Zone, 12), v.Connected, v.Capacity, 100*float64(v.Connected)/float64(max(1, v.Capacity)))
		} else {
			add("%-16s %s", clip(r.Addr, 16), r.Err)
		}
	}
	add("")
	add("%4s %-16s %-16s %9s  %s", "PART", "OWNER", "STANDBY", "MACHINES", "CARRIED BY")
	for _, r := range rows {
		if r.View == nil {
			continue
		}
		for _, p := range r.View.Partitions {
			var by []string
			for _, k := range p.Delegates {
				one := fmt.Sprintf("%s: %d in %d shares", k.Controller, k.Machines, k.Shards)
				if !k.Active {
					one += " (has not asked yet)"
				}
				by = append(by, one)
			}
			add("%4d %-16s %-16s %9d  %s", p.Part, clip(r.View.Controller, 16), clip(cmp.Or(standby[p.Part], "none"), 16), p.Machines, cmp.Or(strings.Join(by, ", "), "nobody else"))
		}
	}
	add("")
	add("%7s %4s %5s  %s", "AGO", "PART", "SHARE", "MOVED")
	moves := 0
	for _, r := range rows {
		if r.View == nil {
			continue
		}
		for _, m := range slices.Backward(r.View.Moves) {
			moves++
			add("%7s %4d %5d  %s to %s: %s", span(m.AgoS), m.Part, m.Shard, cmp.Or(m.From, "its owner"), cmp.Or(m.To, "its owner"), m.Reason)
		}
	}
	if moves == 0 {
		add("no share has moved")
	}
	return out.String()
}

func short(s float64) string {
	if s < 10 {
		return fmt.Sprintf("%.3gs", s)
	}
	return span(s)
}
