package coordination

import (
	"os"
	"strconv"
)

// The environment variables that configure the random tests.
const (
	// failoversVariable sets the number of seeds of the random failover tests. If it is set,
	// the takeover tests also inject every fault at every step.
	failoversVariable = "MICASPINDLE_FAILOVERS"
	// faultPlansVariable sets the number of random fault plans.
	faultPlansVariable = "MICASPINDLE_FAULT_PLANS"
	// faultPlansFromVariable sets the first seed of the random fault plans.
	faultPlansFromVariable = "MICASPINDLE_FAULT_PLANS_FROM"
	// faultPlansWithoutVariable sets the indexes of the faults to leave out, separated by
	// commas.
	faultPlansWithoutVariable = "MICASPINDLE_FAULT_PLANS_WITHOUT"
	// faultPlansMinimizeVariable, if not empty, makes the test minimize a failing plan.
	faultPlansMinimizeVariable = "MICASPINDLE_FAULT_PLANS_MINIMIZE"
)

// formerVariables are the former names of the variables, which are still accepted.
var formerVariables = map[string]string{
	failoversVariable:          "MICASPINDLE_NIGHTS",
	faultPlansVariable:         "MICASPINDLE_MEETINGS",
	faultPlansFromVariable:     "MICASPINDLE_MEETINGS_FROM",
	faultPlansWithoutVariable:  "MICASPINDLE_MEETINGS_WITHOUT",
	faultPlansMinimizeVariable: "MICASPINDLE_MEETINGS_SHRINK",
}

// environment returns the value of a variable. If it is not set, its former name is used.
func environment(variable string) string {
	if value, set := os.LookupEnv(variable); set {
		return value
	}
	return os.Getenv(formerVariables[variable])
}

// numberFromEnvironment returns the number in a variable, or fallback if it holds none.
func numberFromEnvironment(variable string, fallback uint64) uint64 {
	if n, err := strconv.Atoi(environment(variable)); err == nil {
		return uint64(n)
	}
	return fallback
}
