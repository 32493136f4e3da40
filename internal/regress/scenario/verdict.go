package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// MinShare is the fraction of every class's jobs, and of every team's, that has to be served.
const MinShare = 0.5

// Result is what came of a scenario on a site.
type Result struct {
	Site     string `json:"site"`
	Scenario string `json:"day"`
	// Started, Done and Confirmed (to the user, as done) are the lowest shares of any
	// class's jobs; Team is the lowest share of any team's jobs that were started.
	Started   LowestShare `json:"started"`
	Done      LowestShare `json:"done"`
	Confirmed LowestShare `json:"told"`
	Team      LowestShare `json:"team"`
	// Largest is the lowest share of any class's largest jobs that began within four minutes.
	Largest LowestShare `json:"largest"`
	// InTime is the lowest share of any class's jobs that met their deadlines, Useful that of
	// the money that was spent on useful work. They are informative and decide nothing.
	InTime LowestShare `json:"in_time"`
	Useful float64     `json:"useful"`
	// Sockets and Processor are those of the busiest controller, as fractions of
	// its budgets.
	Sockets   float64 `json:"sockets"`
	Processor float64 `json:"processor"`
	// LeaderlessS is for how many seconds partitions with running work had no ready
	// leader, as far as the log shows.
	LeaderlessS float64 `json:"ownerless_s"`
	// SubmitP99S is the 99th percentile of users' submissions, in seconds; Refusals
	// counts the answers 429 and 503 that users got.
	SubmitP99S float64 `json:"late_s"`
	Refusals   int     `json:"refusals"`
	// ElapsedS is how long it took to play.
	ElapsedS float64 `json:"took_s"`
	// Failed says why the change may not land; empty: it may.
	Failed []string `json:"failed,omitempty"`
}

// LowestShare is the lowest share of several classes or teams, and whose it is. A Share above 1
// stands for none.
type LowestShare struct {
	Share float64 `json:"share"`
	Name  string  `json:"of"`
}

// noShare is above any share.
const noShare = 2

// msPerS is how many milliseconds a second has.
const msPerS = 1000

// take takes in the share of n of so many, and returns it; of none it is 1.
func (l *LowestShare) take(name string, n, of int) float64 {
	share := 1.0
	if of > 0 {
		share = min(1, float64(n)/float64(of))
	}
	if share < l.Share {
		*l = LowestShare{share, name}
	}
	return share
}

// Judge reads the benchmark's report of a scenario on a site, and its log.
func (s *Site) Judge(scenario string, report []byte, log io.Reader) (Result, error) {
	r := Result{Site: s.Name(), Scenario: scenario}
	bench, err := parseReport(report)
	if err != nil {
		return r, err
	}
	r.ElapsedS, r.Useful, r.SubmitP99S = bench.Wall, bench.Fleet.Useful, bench.Users.Submit.P99/msPerS
	r.Refusals = bench.Users.Errors["429"] + bench.Users.Errors["503"]
	for _, lowest := range []*LowestShare{&r.Started, &r.Done, &r.Confirmed, &r.Team, &r.Largest, &r.InTime} {
		lowest.Share = noShare
	}
	r.judgeRules(bench)
	r.judgeClasses(bench.Classes)
	r.judgeTeams(bench.Teams)
	r.judgeLargest(bench.Largest)
	r.judgeControllers(bench.Nodes, s.socketLimit())
	if len(bench.Unread) > 0 {
		r.fail("the bench passed over %v: the day was another than meant", bench.Unread)
	}
	r.LeaderlessS, err = leaderlessSeconds(log, bench.crashes())
	return r, err
}

// fail adds a reason why the change may not land.
func (r *Result) fail(format string, args ...any) {
	r.Failed = append(r.Failed, fmt.Sprintf(format, args...))
}

// judgeRules takes in which rules were broken.
func (r *Result) judgeRules(bench *benchReport) {
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

// judgeClasses takes in what came of each class's jobs, but for the cancelled ones.
func (r *Result) judgeClasses(classes map[string]classReport) {
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		class := classes[name]
		jobs := class.Jobs - class.Cancelled
		for _, served := range []struct {
			what   string
			count  int
			lowest *LowestShare
		}{{"started", class.Started, &r.Started}, {"done", class.Done, &r.Done}, {"told done", class.Confirmed, &r.Confirmed}} {
			if share := served.lowest.take(name, served.count, jobs); share < MinShare {
				r.fail("%s: %d of %d jobs %s, under half", name, served.count, jobs, served.what)
			}
		}
		if class.InTime != nil && *class.InTime < r.InTime.Share {
			r.InTime = LowestShare{*class.InTime, name}
		}
	}
}

// judgeTeams takes in how many of each team's jobs were started.
func (r *Result) judgeTeams(teams map[string]startedReport) {
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		team := teams[name]
		if share := r.Team.take(name, team.Started, team.Jobs); share < MinShare {
			r.fail("team %s: %d of %d jobs started, under half", name, team.Started, team.Jobs)
		}
	}
}

// judgeLargest takes in how many of each class's largest jobs began in time.
func (r *Result) judgeLargest(classes map[string]startedReport) {
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		largest := classes[name]
		if share := r.Largest.take(name, largest.Started, largest.Jobs); share < MinShare {
			r.fail("%s: %d of its %d largest jobs began in time, under half", name, largest.Started, largest.Jobs)
		}
	}
}

// judgeControllers takes in what the controllers used, and which ended without a fault of the
// scenario. A socketLimit of 0 is none.
func (r *Result) judgeControllers(nodes []nodeReport, socketLimit float64) {
	for _, node := range nodes {
		r.Processor = max(r.Processor, node.CPUPeak)
		if socketLimit > 0 {
			r.Sockets = max(r.Sockets, node.Sockets/socketLimit)
		}
		if node.Panics > 0 {
			r.fail("%s: %d panics", node.Node, node.Panics)
		}
		for _, restart := range node.Restarts {
			if !restart.byFault() {
				r.fail("%s ended by itself at %.0f s: %s", node.Node, restart.AtS, restart.Why)
			}
		}
	}
}
