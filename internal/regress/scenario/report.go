package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
)

// benchReport is the benchmark's report on a day; other fields are ignored.
type benchReport struct {
	// WallS is the wall time of the play, in seconds.
	WallS float64 `json:"wall_s"`
	Rules struct {
		Total *int           `json:"total"`
		Kinds map[string]int `json:"by_kind"`
	} `json:"rules_broken"`
	Classes map[string]classReport   `json:"classes"`
	Teams   map[string]startedReport `json:"teams"`
	// Largest counts the largest jobs of each class, and as started only those of them that
	// began within the benchmark's time limit.
	Largest map[string]startedReport `json:"largest"`
	// Idle counts jobs that waited although a machine had free capacity (Neglected), and
	// defects that no rule covers (Slips), such as starts after a confirmed cancellation or
	// accepted jobs that can't run.
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
	// Unread lists the parts of the scenario that the benchmark did not recognize.
	Unread []any `json:"unread"`
}

// classReport counts the jobs of a class by outcome.
type classReport struct {
	Jobs    int `json:"jobs"`
	Started int `json:"started"`
	Done    int `json:"done"`
	// Confirmed counts jobs whose completion was confirmed to the user.
	Confirmed int `json:"told_done"`
	Cancelled int `json:"cancelled"`
	// InTime is the fraction of jobs that met their deadline, or nil if none has a deadline.
	InTime *float64 `json:"in_deadline"`
}

// startedReport counts jobs, and the jobs among them that were started.
type startedReport struct {
	Jobs    int `json:"jobs"`
	Started int `json:"started"`
}

// nodeReport is the resource usage and the failures of a controller.
type nodeReport struct {
	Node        string          `json:"node"`
	CPUPeak     float64         `json:"cpu_peak"`
	PeakSockets float64         `json:"connections_peak"`
	Panics      int             `json:"panics"`
	Restarts    []restartReport `json:"restarts"`
}

// restartReport is the end of a process: its time in seconds since the start of the day, and its
// reason.
type restartReport struct {
	AtS float64 `json:"at_s"`
	Why string  `json:"why"`
}

// isInjected reports whether the benchmark ended the process as a fault of the scenario.
func (r restartReport) isInjected() bool { return r.Why == "fault" || r.Why == "roll" }

// parseReport parses the benchmark's report.
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

// crashes returns the times at which each controller's process ended, in seconds since the start.
func (r *benchReport) crashes() map[string][]float64 {
	crashes := map[string][]float64{}
	for _, node := range r.Nodes {
		for _, restart := range node.Restarts {
			crashes[node.Node] = append(crashes[node.Node], restart.AtS)
		}
	}
	return crashes
}
