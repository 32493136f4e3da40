package scenario

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// burstTeam is the name of the team that is added for bursts of one team's jobs.
	burstTeam = "night-flood"
	// burstTeamDivisor divides the arrival rate of the copied class to get the rate of the
	// added team's jobs outside of the burst.
	burstTeamDivisor = 10
)

// urgencies lists the urgencies in site files in ascending order.
var urgencies = []string{"low", "normal", "standard", "high", "production"}

// Apply changes the deployment as the scenario requires.
func (s *Site) Apply(scenario *Scenario) {
	s.nodes()["restart_delay_s"] = scenario.RestartS
	s.scaleMachines(scenario.Machines)
	s.scaleArrivals(scenario.Arrivals)
	for i := range scenario.Faults {
		if fault := &scenario.Faults[i]; fault.Team {
			s.addBurstTeam(fault.Class)
		}
	}
}

// scaleMachines multiplies the numbers of machines that the cloud provides.
func (s *Site) scaleMachines(factor float64) {
	for _, capacity := range s.capacity {
		for _, field := range []string{"count", "spot"} {
			if _, ok := capacity[field]; ok {
				capacity[field] = int64(math.Round(number(capacity[field]) * factor))
			}
		}
	}
}

// scaleArrivals multiplies the arrival rates and the initial jobs of all classes, and the teams'
// limits.
func (s *Site) scaleArrivals(factor float64) {
	for _, team := range s.teams {
		for _, field := range []string{"cpus", "cpus_max", "gpus", "gpus_max"} {
			if amount := number(team[field]); amount > 0 {
				team[field] = amount * factor
			}
		}
	}
	for _, class := range s.jobs {
		if arrivals, ok := class["arrivals"].(map[string]any); ok {
			arrivals["rate"] = number(arrivals["rate"]) * factor
		}
		class["initial"] = int64(math.Round(number(class["initial"]) * factor))
	}
}

// addBurstTeam adds a team and a copy of a job class with a tenth of the arrival rate. The copy is
// the only class of the team, so a burst of the copy is a burst of one team.
func (s *Site) addBurstTeam(class string) {
	if s.findClass(burstClassName(class)) != nil {
		return
	}
	var names []any
	for _, team := range s.teams {
		names = append(names, team["name"])
	}
	for _, other := range s.jobs {
		if other["teams"] == nil {
			other["teams"] = names
		}
	}
	if !slices.ContainsFunc(s.teams, func(team map[string]any) bool { return team["name"] == burstTeam }) {
		// The team has no limit, so that only the capacity of the fleet bounds the burst.
		s.teams = append(s.teams, map[string]any{"name": burstTeam, "weight": 1.0})
	}
	added := maps.Clone(s.resolveClass(class))
	arrivals := maps.Clone(added["arrivals"].(map[string]any))
	arrivals["rate"] = number(arrivals["rate"]) / burstTeamDivisor
	added["name"], added["teams"], added["arrivals"], added["initial"] = burstClassName(class), []any{burstTeam}, arrivals, int64(1)
	s.jobs = append(s.jobs, added)
	s.all["teams"], s.all["jobs"] = s.teams, s.jobs
}

// burstClassName returns the name of the copy of a class that a burst of one team uses.
func burstClassName(class string) string { return class + "-" + burstTeam }

// resolveClass returns the class of highest urgency, or for classLarge the one with the largest tasks.
func (s *Site) resolveClass(class string) map[string]any {
	return slices.MaxFunc(s.jobs, func(a, b map[string]any) int {
		cpus := cmp.Compare(number(a["cpus"]), number(b["cpus"]))
		if class == classLarge {
			return cpus
		}
		return cmp.Or(cmp.Compare(urgencyRank(a), urgencyRank(b)), cpus)
	})
}

// urgencyRank returns the index of a class's urgency in urgencies, or -1.
func urgencyRank(class map[string]any) int { return slices.Index(urgencies, text(class["priority"])) }
