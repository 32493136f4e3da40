package coordination

import (
	"os"
	"strconv"
)

// The environment variables that tune the random tests.
const (
	// failoversVariable is the number of seeds of the random failovers; if set, every fault at
	// every step of a takeover is played as well.
	failoversVariable = "MICASPINDLE_FAILOVERS"
	// faultPlansVariable is the number of random fault plans.
	faultPlansVariable = "MICASPINDLE_FAULT_PLANS"
	// faultPlansFromVariable is the first seed of the random fault plans.
	faultPlansFromVariable = "MICASPINDLE_FAULT_PLANS_FROM"
	// faultPlansWithoutVariable lists the indexes of faults to leave out, separated by commas.
	faultPlansWithoutVariable = "MICASPINDLE_FAULT_PLANS_WITHOUT"
	// faultPlansMinimizeVariable, if not empty, has a failing plan minimized.
	faultPlansMinimizeVariable = "MICASPINDLE_FAULT_PLANS_MINIMIZE"
)

// formerVariables are the former names of variables, which still work.
var formerVariables = map[string]string{
	failoversVariable:          "MICASPINDLE_NIGHTS",
	faultPlansVariable:         "MICASPINDLE_MEETINGS",
	faultPlansFromVariable:     "MICASPINDLE_MEETINGS_FROM",
	faultPlansWithoutVariable:  "MICASPINDLE_MEETINGS_WITHOUT",
	faultPlansMinimizeVariable: "MICASPINDLE_MEETINGS_SHRINK",
}

// environment returns the value of a variable, also one that is set under its former name.
func environment(variable string) string {
	if value, set := os.LookupEnv(variable); set {
		return value
	}
	return os.Getenv(formerVariables[variable])
}

// numberFromEnvironment returns the number in a variable, or fallback without one.
func numberFromEnvironment(variable string, fallback uint64) uint64 {
	if n, err := strconv.Atoi(environment(variable)); err == nil {
		return uint64(n)
	}
	return fallback
}
