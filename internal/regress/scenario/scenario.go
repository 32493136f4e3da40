// Package scenario adapts the project's load and failure scenarios to a site file of the users'
// benchmark, and evaluates the benchmark's reports: at least half of the jobs of every class and
// team must be served, no rule may be violated, and no process may exit by itself.
//
// It holds the scenarios, encodes them in the benchmark's format and reads its reports and logs. It
// runs no program and does not depend on a particular site.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Scenario is a simulated day of load and faults, described independently of the deployment.
type Scenario struct {
	Name string `yaml:"name"`
	// Why describes the purpose of the scenario.
	Why  string `yaml:"why"`
	Seed int    `yaml:"seed"`
	// Machines is a factor for the number of machines, and Arrivals one for the arrival rates
	// and the teams' limits. RestartS is the delay after which a process that exited is
	// started again.
	Machines float64 `yaml:"machines"`
	Arrivals float64 `yaml:"arrivals"`
	RestartS float64 `yaml:"restart_s"`
	// DurationS is the time for which jobs are submitted; 0 keeps the deployment's duration.
	DurationS float64       `yaml:"duration_s"`
	Jobs      []ClassChange `yaml:"jobs"`
	Faults    []Fault       `yaml:"faults"`
}

// ClassChange overrides properties of a job class in a scenario.
type ClassChange struct {
	// Class is urgent or large, as in Fault.Class.
	Class string `yaml:"class"`
	// Cancelled is the fraction of jobs that are cancelled, and RunS the median runtime of
	// tasks; 0 keeps the deployment's value.
	Cancelled float64 `yaml:"cancelled"`
	RunS      float64 `yaml:"run_s"`
}

const (
	// minFactor is the lower bound of Scenario.Machines and Scenario.Arrivals.
	minFactor = 0.1
	// maxMachineFactor is the upper bound of Scenario.Machines; with it, the large deployments
	// have 4,000 machines.
	maxMachineFactor = 5
	// maxArrivalFactor is the upper bound of Scenario.Arrivals.
	maxArrivalFactor = 4
	// minRestartS and maxRestartS are the bounds of Scenario.RestartS.
	minRestartS, maxRestartS = 0.1, 30
)

// nameCharacters are the characters that a scenario's name may contain.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"

// Parse decodes and validates a scenario. The error lists everything that is invalid.
func Parse(data []byte) (Scenario, error) {
	var s Scenario
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	return s, errors.Join(s.checkDeployment(), s.checkJobs(), s.checkFaults())
}

// checkDeployment validates the scenario's name, purpose and changes to the deployment.
func (s *Scenario) checkDeployment() error {
	var invalid []error
	if s.Name == "" || strings.Trim(s.Name, nameCharacters) != "" {
		invalid = append(invalid, fmt.Errorf("name: %q must consist of lower-case letters, digits and dashes", s.Name))
	}
	if s.Why == "" {
		invalid = append(invalid, errors.New("why: the purpose of the scenario is missing"))
	}
	if s.Machines < minFactor || s.Machines > maxMachineFactor || s.Arrivals < minFactor || s.Arrivals > maxArrivalFactor ||
		s.RestartS < minRestartS || s.RestartS > maxRestartS {
		invalid = append(invalid, fmt.Errorf("machines must be between 0.1 and %d, arrivals between 0.1 and 4, and restart_s between 0.1 and 30", maxMachineFactor))
	}
	if s.DurationS < 0 {
		invalid = append(invalid, errors.New("duration_s must not be negative"))
	}
	return errors.Join(invalid...)
}

// checkJobs validates the changes of job classes.
func (s *Scenario) checkJobs() error {
	var invalid []error
	for i, change := range s.Jobs {
		if !validClass(change.Class) || change.Cancelled < 0 || change.Cancelled > 1 || change.RunS < 0 {
			invalid = append(invalid, fmt.Errorf("jobs %d: class must be urgent or large, cancelled between 0 and 1, and run_s not negative", i+1))
		}
	}
	return errors.Join(invalid...)
}

// checkFaults validates the faults.
func (s *Scenario) checkFaults() error {
	if len(s.Faults) == 0 {
		return errors.New("faults: a scenario needs at least one")
	}
	var invalid []error
	for i := range s.Faults {
		if err := s.Faults[i].check(); err != nil {
			invalid = append(invalid, fmt.Errorf("fault %d: %w", i+1, err))
		}
	}
	return errors.Join(invalid...)
}
