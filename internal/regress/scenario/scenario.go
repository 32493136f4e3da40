// Package scenario makes the project's load and failure scenarios out of any site file of the
// users' benchmark, and judges what came of them: is at least half of every class of jobs and of
// every team served, and did no rule break and no process end by itself.
//
// It owns the scenarios, the files that it writes of them for the benchmark, and the verdict,
// all of them pure; it runs nothing and depends on no particular site.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Scenario is a simulated day of load and faults, in terms that fit any deployment.
type Scenario struct {
	Name string `yaml:"name"`
	// Why says what the scenario is for.
	Why  string `yaml:"why"`
	Seed int    `yaml:"seed"`
	// Machines, Arrivals and RestartS are how the deployment differs: so many times
	// the machines; so many times the arrivals and the teams' limits; how soon a
	// process that ended is started again.
	Machines float64 `yaml:"machines"`
	Arrivals float64 `yaml:"arrivals"`
	RestartS float64 `yaml:"restart_s"`
	// DurationS is for how many seconds jobs are submitted; 0: as the deployment says.
	DurationS float64       `yaml:"duration_s"`
	Jobs      []ClassChange `yaml:"jobs"`
	Faults    []Fault       `yaml:"faults"`
}

// ClassChange is how the jobs of a class differ in a scenario.
type ClassChange struct {
	// Class is urgent or large, as of a fault.
	Class string `yaml:"class"`
	// Cancelled is the fraction that is cancelled, RunS for how long the median task runs;
	// 0: as the deployment says.
	Cancelled float64 `yaml:"cancelled"`
	RunS      float64 `yaml:"run_s"`
}

const (
	// minFactor is the least of the machines or arrivals of a deployment that a scenario may have.
	minFactor = 0.1
	// maxMachineFactor is how many times the machines of a deployment a scenario may have: the
	// large ones have 4,000 then.
	maxMachineFactor = 5
	maxArrivalFactor = 4
	// minRestartS and maxRestartS bound how soon a process is started again, in seconds.
	minRestartS, maxRestartS = 0.1, 30
)

// nameCharacters are those of which a scenario's name is made.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"

// Parse reads and checks a scenario. The error names everything that is wrong with it.
func Parse(data []byte) (Scenario, error) {
	var s Scenario
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	return s, errors.Join(s.checkDeployment(), s.checkJobs(), s.checkFaults())
}

// checkDeployment says what is wrong with the scenario's name and with how the deployment differs.
func (s *Scenario) checkDeployment() error {
	var invalid []error
	if s.Name == "" || strings.Trim(s.Name, nameCharacters) != "" {
		invalid = append(invalid, fmt.Errorf("name: %q is not made of small letters, digits and dashes", s.Name))
	}
	if s.Why == "" {
		invalid = append(invalid, errors.New("why: say what the day is for"))
	}
	if s.Machines < minFactor || s.Machines > maxMachineFactor || s.Arrivals < minFactor || s.Arrivals > maxArrivalFactor ||
		s.RestartS < minRestartS || s.RestartS > maxRestartS {
		invalid = append(invalid, fmt.Errorf("machines lie between 0.1 and %d times, arrivals between 0.1 and 4, restart_s between 0.1 and 30", maxMachineFactor))
	}
	if s.DurationS < 0 {
		invalid = append(invalid, errors.New("duration_s must not be below 0"))
	}
	return errors.Join(invalid...)
}

// checkJobs says what is wrong with the changes of classes.
func (s *Scenario) checkJobs() error {
	var invalid []error
	for i, change := range s.Jobs {
		if !validClass(change.Class) || change.Cancelled < 0 || change.Cancelled > 1 || change.RunS < 0 {
			invalid = append(invalid, fmt.Errorf("jobs %d: class is urgent or large, cancelled lies between 0 and 1, run_s is not below 0", i+1))
		}
	}
	return errors.Join(invalid...)
}

// checkFaults says what is wrong with the faults.
func (s *Scenario) checkFaults() error {
	if len(s.Faults) == 0 {
		return errors.New("faults: a day without any is no hard one")
	}
	var invalid []error
	for i := range s.Faults {
		if err := s.Faults[i].check(); err != nil {
			invalid = append(invalid, fmt.Errorf("fault %d: %w", i+1, err))
		}
	}
	return errors.Join(invalid...)
}
