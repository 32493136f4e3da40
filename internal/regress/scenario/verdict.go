package scenario

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Half is the share of every class's jobs, and of every team's, that has to be served.
const Half = 0.5

// Result is what came of a day.
type Result struct {
	Site string `json:"site"`
	Day  string `json:"day"`
	// Started, Done and Told are the lowest shares of any class; Team is the lowest
	// share of any team's jobs that were started.
	Started Lowest `json:"started"`
	Done    Lowest `json:"done"`
	Told    Lowest `json:"told"`
	Team    Lowest `json:"team"`
	// Largest is the lowest share of any class's largest jobs that began within four minutes.
	Largest Lowest `json:"largest"`
	// InTime is the lowest share of any class in time, Useful that of the money spent
	// on useful work: for a look, they decide nothing.
	InTime Lowest  `json:"in_time"`
	Useful float64 `json:"useful"`
	// Sockets and Processor are those of the busiest controller, in shares of its
	// budgets.
	Sockets   float64 `json:"sockets"`
	Processor float64 `json:"processor"`
	// OwnerlessS is for how many seconds parts with running work had no owner that
	// decided, as far as the log tells.
	OwnerlessS float64 `json:"ownerless_s"`
	// Late is the 99th percentile of users' submissions, in seconds; Refusals counts
	// the answers 429 and 503 that users got.
	LateS    float64 `json:"late_s"`
	Refusals int     `json:"refusals"`
	// TookS is how long it took to play.
	TookS float64 `json:"took_s"`
	// Failed says what forbids to land.
	Failed []string `json:"failed,omitempty"`
}

// Lowest is the lowest share of several, and whose it is.
type Lowest struct {
	Share float64 `json:"share"`
	Of    string  `json:"of"`
}

// wireReport is the bench's report; what is not named is passed over.
type wireReport struct {
	Wall  float64 `json:"wall_s"`
	Rules struct {
		Total *int           `json:"total"`
		Kinds map[string]int `json:"by_kind"`
	} `json:"rules_broken"`
	Classes map[string]struct {
		Jobs      int      `json:"jobs"`
		Started   int      `json:"started"`
		Done      int      `json:"done"`
		Told      int      `json:"told_done"`
		Cancelled int      `json:"cancelled"`
		InTime    *float64 `json:"in_deadline"`
	} `json:"classes"`
	Teams map[string]struct {
		Jobs    int `json:"jobs"`
		Started int `json:"started"`
	} `json:"teams"`
	// Largest are the largest jobs of each class; started counts those that began within
	// the bench's bound.
	Largest map[string]struct {
		Jobs    int `json:"jobs"`
		Started int `json:"started"`
	} `json:"largest"`
	// Idle counts jobs that waited though there was room, and what no rule forbids yet no
	// user should see: starts after a confirmed cancellation, jobs accepted that can't run.
	Idle struct {
		Neglected int            `json:"neglected"`
		Slips     map[string]any `json:"slips"`
	} `json:"idle"`
	Fleet struct {
		Useful float64 `json:"useful"`
	} `json:"fleet"`
	Users struct {
		Submit struct {
			P99 float64 `json:"p99"`
		} `json:"submit_ms"`
		Errors map[string]int `json:"errors"`
	} `json:"users"`
	Nodes []struct {
		Node     string  `json:"node"`
		CPUPeak  float64 `json:"cpu_peak"`
		Sockets  float64 `json:"connections_peak"`
		Panics   int     `json:"panics"`
		Restarts []struct {
			AtS float64 `json:"at_s"`
			Why string  `json:"why"`
		} `json:"restarts"`
	} `json:"node_stats"`
	Unread []any `json:"unread"`
}

// Judge reads the bench's report of a day on a site, and its log.
func (s *Site) Judge(day string, report []byte, log io.Reader) (Result, error) {
	r := Result{Site: s.Name(), Day: day}
	var w wireReport
	if err := json.Unmarshal(report, &w); err != nil {
		return r, fmt.Errorf("report: %w", err)
	}
	if w.Rules.Total == nil || len(w.Classes) == 0 || len(w.Nodes) == 0 {
		return r, errors.New("report: rules_broken, classes or node_stats is missing")
	}
	r.TookS, r.Useful, r.LateS = w.Wall, w.Fleet.Useful, w.Users.Submit.P99/1000
	r.Refusals = w.Users.Errors["429"] + w.Users.Errors["503"]
	fail := func(format string, args ...any) { r.Failed = append(r.Failed, fmt.Sprintf(format, args...)) }
	if *w.Rules.Total > 0 {
		fail("%d broken rules: %v", *w.Rules.Total, w.Rules.Kinds)
	}
	if w.Idle.Neglected > 0 {
		fail("%d jobs waited though a machine had room", w.Idle.Neglected)
	}
	if len(w.Idle.Slips) > 0 {
		fail("counted beside the rules: %v", w.Idle.Slips)
	}
	for _, low := range []*Lowest{&r.Started, &r.Done, &r.Told, &r.Team, &r.Largest, &r.InTime} {
		*low = Lowest{Share: 2}
	}
	for _, name := range slices.Sorted(maps.Keys(w.Classes)) {
		c := w.Classes[name]
		jobs := c.Jobs - c.Cancelled
		for _, k := range []struct {
			what string
			n    int
			low  *Lowest
		}{{"started", c.Started, &r.Started}, {"done", c.Done, &r.Done}, {"told done", c.Told, &r.Told}} {
			if share := k.low.take(name, k.n, jobs); share < Half {
				fail("%s: %d of %d jobs %s, under half", name, k.n, jobs, k.what)
			}
		}
		if c.InTime != nil && *c.InTime < r.InTime.Share {
			r.InTime = Lowest{*c.InTime, name}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.Teams)) {
		t := w.Teams[name]
		if share := r.Team.take(name, t.Started, t.Jobs); share < Half {
			fail("team %s: %d of %d jobs started, under half", name, t.Started, t.Jobs)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.Largest)) {
		l := w.Largest[name]
		if share := r.Largest.take(name, l.Started, l.Jobs); share < Half {
			fail("%s: %d of its %d largest jobs began in time, under half", name, l.Started, l.Jobs)
		}
	}
	budget := s.all["nodes"].(map[string]any)
	crashes := map[string][]float64{}
	for _, n := range w.Nodes {
		r.Processor = max(r.Processor, n.CPUPeak)
		if sockets := number(budget["max_connections"]); sockets > 0 {
			r.Sockets = max(r.Sockets, n.Sockets/sockets)
		}
		if n.Panics > 0 {
			fail("%s: %d panics", n.Node, n.Panics)
		}
		for _, restart := range n.Restarts {
			if restart.Why != "fault" && restart.Why != "roll" {
				fail("%s ended by itself at %.0f s: %s", n.Node, restart.AtS, restart.Why)
			}
			crashes[n.Node] = append(crashes[n.Node], restart.AtS)
		}
	}
	if len(w.Unread) > 0 {
		fail("the bench passed over %v: the day was another than meant", w.Unread)
	}
	var err error
	r.OwnerlessS, err = ownerless(log, crashes)
	return r, err
}

// take notes a share of so many, and returns it; none of none is all.
func (l *Lowest) take(name string, n, of int) float64 {
	share := 1.0
	if of > 0 {
		share = min(1, float64(n)/float64(of))
	}
	if share < l.Share {
		*l = Lowest{share, name}
	}
	return share
}

// A controller logs these events of a partition's leadership. Each message has a
// former form, with the key part: logs of the version in production are compared with those of
// this one, so both are read.
var (
	leadershipLine = regexp.MustCompile(`^\s*([0-9.]+) (\S+) .*msg="(?:(part claimed|part ready|part lost)" part|(partition lease acquired|partition ready|partition lost)" partition)=(\d+)(?: .*)?$`)
	liveAttempts   = regexp.MustCompile(` live=(\d+)`)
)

// leadershipEvent is what happened to the leadership of a partition.
type leadershipEvent int

const (
	leaseAcquired leadershipEvent = iota + 1
	partitionReady
	partitionLost
)

var leadershipEvents = map[string]leadershipEvent{
	"part claimed": leaseAcquired, "partition lease acquired": leaseAcquired,
	"part ready": partitionReady, "partition ready": partitionReady,
	"part lost": partitionLost, "partition lost": partitionLost,
}

// leadershipEntry is one line of the log about the leadership of a partition.
type leadershipEntry struct {
	at         float64 // seconds since the log began
	controller string
	partition  string
	event      leadershipEvent
	// hasLive: the event says that the new leader found running work.
	hasLive bool
}

// parseLeadership reads a line of the log; ok is false if it is about something else.
func parseLeadership(line string) (entry leadershipEntry, ok bool, err error) {
	match := leadershipLine.FindStringSubmatch(line)
	if match == nil {
		return entry, false, nil
	}
	at, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		return entry, false, fmt.Errorf("log: %w", err)
	}
	live := liveAttempts.FindStringSubmatch(line)
	return leadershipEntry{at: at, controller: match[2], partition: match[5], event: leadershipEvents[match[3]+match[4]],
		hasLive: live != nil && live[1] != "0"}, true, nil
}

// leadership is who leads a partition, as far as the log tells.
type leadership struct {
	leader string
	// vacantSince is when it lost its leader; below 0: it has one.
	vacantSince float64
	// readyAt is when the leader was last ready.
	readyAt float64
}

// apply takes in what happened, and returns for how many seconds running work had no leader if that
// has ended with it.
func (l *leadership) apply(entry leadershipEntry, crashes map[string][]float64) (vacant float64) {
	switch entry.event {
	case partitionLost:
		if entry.controller == l.leader && l.vacantSince < 0 {
			l.vacantSince = entry.at
		}
	case leaseAcquired:
		if l.vacantSince < 0 {
			l.vacantSince = entry.at
			for _, crash := range crashes[l.leader] {
				if crash > l.readyAt && crash < entry.at {
					l.vacantSince = crash
					break
				}
			}
		}
	case partitionReady:
		if l.leader != "" && l.vacantSince >= 0 && entry.hasLive {
			vacant = entry.at - l.vacantSince
		}
		l.leader, l.vacantSince, l.readyAt = entry.controller, -1, entry.at
	}
	return vacant
}

// ownerless adds up, over the partitions, the seconds from the end of a leader (its crash, or its
// loss of the lease) until the next one is ready. It counts only where that one found running
// work. A leader that stands still or is cut off says nothing; then it is the time that its
// successor took from the moment it acquired the lease.
func ownerless(log io.Reader, crashes map[string][]float64) (float64, error) {
	partitions := map[string]*leadership{}
	sum := 0.0
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	for lines.Scan() {
		entry, ok, err := parseLeadership(lines.Text())
		if err != nil {
			return 0, err
		}
		if !ok {
			continue
		}
		partition := partitions[entry.partition]
		if partition == nil {
			partition = &leadership{vacantSince: -1}
			partitions[entry.partition] = partition
		}
		sum += partition.apply(entry, crashes)
	}
	return sum, lines.Err()
}

// Table shows results, a row a day, and what forbids below.
func Table(out io.Writer, results []Result) error {
	var text strings.Builder
	low := func(l Lowest) string {
		if l.Share > 1 {
			return "-"
		}
		return fmt.Sprintf("%.2f %s", l.Share, l.Of)
	}
	for _, r := range results {
		verdict := "ok"
		if len(r.Failed) > 0 {
			verdict = "NO: " + strings.Join(r.Failed, "; ")
		}
		fmt.Fprintf(&text, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%.0f\t%s\n", r.Site, r.Day, low(r.Started), low(r.Done), low(r.Told),
			low(r.Team), low(r.Largest), low(r.InTime), r.Useful, r.Sockets, r.Processor, r.OwnerlessS, r.LateS, r.Refusals, r.TookS, verdict)
	}
	_, err := fmt.Fprint(out, "SITE\tDAY\tSTARTED\tDONE\tTOLD\tTEAM\tLARGEST\tIN TIME\tUSEFUL\tSOCKETS\tCPU\tOWNERLESS S\tLATE S\tREFUSED\tTOOK S\tVERDICT\n", text.String())
	return err
}
