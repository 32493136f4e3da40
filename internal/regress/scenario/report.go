package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
)

// benchReport is the benchmark's report of a day; fields that are not named here are ignored.
type benchReport struct {
	// Wall is how many seconds it took to play.
	Wall  float64 `json:"wall_s"`
	Rules struct {
		Total *int           `json:"total"`
		Kinds map[string]int `json:"by_kind"`
	} `json:"rules_broken"`
	Classes map[string]classReport   `json:"classes"`
	Teams   map[string]startedReport `json:"teams"`
	// Largest are the largest jobs of each class; started counts those that began within
	// the bench's bound.
	Largest map[string]startedReport `json:"largest"`
	// Idle counts jobs that waited though a machine had room, and what no rule forbids yet no
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
	Nodes []nodeReport `json:"node_stats"`
	// Unread are the parts of the scenario that the benchmark did not know.
	Unread []any `json:"unread"`
}

// classReport is what came of the jobs of a class.
type classReport struct {
	Jobs    int `json:"jobs"`
	Started int `json:"started"`
	Done    int `json:"done"`
	// Confirmed counts those that their user got confirmed as done.
	Confirmed int `json:"told_done"`
	Cancelled int `json:"cancelled"`
	// InTime is the fraction that met its deadline; nil: none has one.
	InTime *float64 `json:"in_deadline"`
}

// startedReport counts jobs, and those of them that were started.
type startedReport struct {
	Jobs    int `json:"jobs"`
	Started int `json:"started"`
}

// nodeReport is what the benchmark saw of a controller.
type nodeReport struct {
	Node     string          `json:"node"`
	CPUPeak  float64         `json:"cpu_peak"`
	Sockets  float64         `json:"connections_peak"`
	Panics   int             `json:"panics"`
	Restarts []restartReport `json:"restarts"`
}

// restartReport is when a process ended, in seconds since the start, and why.
type restartReport struct {
	AtS float64 `json:"at_s"`
	Why string  `json:"why"`
}

// byFault says whether the benchmark ended the process.
func (r restartReport) byFault() bool { return r.Why == "fault" || r.Why == "roll" }

// parseReport reads a report.
func parseReport(data []byte) (*benchReport, error) {
	report := new(benchReport)
	if err := json.Unmarshal(data, report); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if report.Rules.Total == nil || len(report.Classes) == 0 || len(report.Nodes) == 0 {
		return nil, errors.New("report: rules_broken, classes or node_stats is missing")
	}
	return report, nil
}

// crashes is when each controller's process ended, in seconds since the start.
func (r *benchReport) crashes() map[string][]float64 {
	crashes := map[string][]float64{}
	for _, node := range r.Nodes {
		for _, restart := range node.Restarts {
			crashes[node.Node] = append(crashes[node.Node], restart.AtS)
		}
	}
	return crashes
}
