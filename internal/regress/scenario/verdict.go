package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// MinShare is the fraction of the jobs of every class and team that must be served.
const MinShare = 0.5

// Result is the result of a scenario on a site.
type Result struct {
	Site     string `json:"site"`
	Scenario string `json:"day"`
	// Started, Done and Confirmed are the lowest shares, over the classes, of jobs that were
	// started, done and confirmed as done to the user. Team is the lowest share, over the
	// teams, of jobs that were started.
	Started   LowestShare `json:"started"`
	Done      LowestShare `json:"done"`
	Confirmed LowestShare `json:"told"`
	Team      LowestShare `json:"team"`
	// Largest is the lowest share, over the classes, of the largest jobs that began within
	// four minutes.
	Largest LowestShare `json:"largest"`
	// InTime is the lowest share, over the classes, of jobs that met their deadlines, and
	// UsefulSpend the share of the cost that was spent on useful work. Neither can fail a
	// scenario.
	InTime      LowestShare `json:"in_time"`
	UsefulSpend float64     `json:"useful"`
	// SocketUsage and CPUUsage are the highest peaks of any controller, as fractions of its
	// limits.
	SocketUsage float64 `json:"sockets"`
	CPUUsage    float64 `json:"processor"`
	// LeaderlessS is the total time in seconds, according to the log, for which partitions
	// with running work had no ready leader.
	LeaderlessS float64 `json:"ownerless_s"`
	// SubmitP99S is the 99th percentile of the latency of submissions, in seconds. Refusals is
	// the number of responses to users with status 429 or 503.
	SubmitP99S float64 `json:"late_s"`
	Refusals   int     `json:"refusals"`
	// ElapsedS is the duration of the play, in seconds.
	ElapsedS float64 `json:"took_s"`
	// Failed lists the reasons why the change may not land.
	Failed []string `json:"failed,omitempty"`
}

// LowestShare is the lowest share of several classes or teams, with the name of that class or team.
// A Share above 1 is undefined.
type LowestShare struct {
	Share float64 `json:"share"`
	Name  string  `json:"of"`
}

// undefinedShare is an undefined LowestShare.Share, which is greater than any share.
const undefinedShare = 2

const msPerS = 1000

// update replaces l by the share of n in total if that is lower, and returns the share, which is 1
// for a total of 0.
func (l *LowestShare) update(name string, n, total int) float64 {
	share := 1.0
	if total > 0 {
		share = min(1, float64(n)/float64(total))
	}
	if share < l.Share {
		*l = LowestShare{share, name}
	}
	return share
}

// Evaluate returns the result of a scenario on the site from the benchmark's report and log.
func (s *Site) Evaluate(scenario string, report []byte, log io.Reader) (Result, error) {
	r := Result{Site: s.Name(), Scenario: scenario}
	bench, err := parseReport(report)
	if err != nil {
		return r, err
	}
	r.ElapsedS, r.UsefulSpend, r.SubmitP99S = bench.WallS, bench.Fleet.Useful, bench.Users.Submit.P99/msPerS
	r.Refusals = bench.Users.Errors["429"] + bench.Users.Errors["503"]
	for _, lowest := range []*LowestShare{&r.Started, &r.Done, &r.Confirmed, &r.Team, &r.Largest, &r.InTime} {
		lowest.Share = undefinedShare
	}
	r.checkRules(bench)
	r.checkClasses(bench.Classes)
	r.checkTeams(bench.Teams)
	r.checkLargest(bench.Largest)
	r.checkControllers(bench.Nodes, s.socketLimit())
	if len(bench.Unread) > 0 {
		r.fail("the benchmark passed over %v, so it did not play the scenario as written", bench.Unread)
	}
	r.LeaderlessS, err = leaderlessSeconds(log, bench.crashes())
	return r, err
}

// fail adds a reason why the change may not land.
func (r *Result) fail(format string, args ...any) {
	r.Failed = append(r.Failed, fmt.Sprintf(format, args...))
}

// checkRules adds violated rules and other defects to the reasons of failure.
func (r *Result) checkRules(bench *benchReport) {
	if *bench.Rules.Total > 0 {
		r.fail("%d broken rules: %v", *bench.Rules.Total, bench.Rules.Kinds)
	}
	if bench.Idle.Neglected > 0 {
		r.fail("%d jobs waited though a machine had room", bench.Idle.Neglected)
	}
	if len(bench.Idle.Slips) > 0 {
		r.fail("counted beside the rules: %v", bench.Idle.Slips)
	}
}

// checkClasses checks the shares of jobs of each class, without the cancelled jobs.
func (r *Result) checkClasses(classes map[string]classReport) {
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		class := classes[name]
		jobs := class.Jobs - class.Cancelled
		for _, served := range []struct {
			what   string
			count  int
			lowest *LowestShare
		}{{"started", class.Started, &r.Started}, {"done", class.Done, &r.Done}, {"told done", class.Confirmed, &r.Confirmed}} {
			if share := served.lowest.update(name, served.count, jobs); share < MinShare {
				r.fail("%s: %d of %d jobs %s, under half", name, served.count, jobs, served.what)
			}
		}
		if class.InTime != nil && *class.InTime < r.InTime.Share {
			r.InTime = LowestShare{*class.InTime, name}
		}
	}
}

// checkTeams checks the share of each team's jobs that were started.
func (r *Result) checkTeams(teams map[string]startedReport) {
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		team := teams[name]
		if share := r.Team.update(name, team.Started, team.Jobs); share < MinShare {
			r.fail("team %s: %d of %d jobs started, under half", name, team.Started, team.Jobs)
		}
	}
}

// checkLargest checks the share of each class's largest jobs that began in time.
func (r *Result) checkLargest(classes map[string]startedReport) {
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		largest := classes[name]
		if share := r.Largest.update(name, largest.Started, largest.Jobs); share < MinShare {
			r.fail("%s: %d of its %d largest jobs began in time, under half", name, largest.Started, largest.Jobs)
		}
	}
}

// checkControllers records the highest resource usage of any controller, and checks that none
// panicked or ended other than by a fault of the scenario. A socketLimit of 0 means no limit.
func (r *Result) checkControllers(nodes []nodeReport, socketLimit float64) {
	for _, node := range nodes {
		r.CPUUsage = max(r.CPUUsage, node.CPUPeak)
		if socketLimit > 0 {
			r.SocketUsage = max(r.SocketUsage, node.PeakSockets/socketLimit)
		}
		if node.Panics > 0 {
			r.fail("%s: %d panics", node.Node, node.Panics)
		}
		for _, restart := range node.Restarts {
			if !restart.isInjected() {
				r.fail("%s ended by itself at %.0f s: %s", node.Node, restart.AtS, restart.Why)
			}
		}
	}
}
