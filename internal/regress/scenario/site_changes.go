package scenario

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// burstTeam is the team to which all jobs of a burst of one team belong.
	burstTeam = "night-flood"
	// burstTeamDivisor is by how much fewer jobs that team has outside of the burst than the
	// class that its jobs are like.
	burstTeamDivisor = 10
)

// urgencies are the urgencies in site files, the lowest first.
var urgencies = []string{"low", "normal", "standard", "high", "production"}

// Apply changes the deployment to what a scenario asks for.
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

// scaleMachines multiplies the machines that the cloud has.
func (s *Site) scaleMachines(factor float64) {
	for _, capacity := range s.capacity {
		for _, field := range []string{"count", "spot"} {
			if _, ok := capacity[field]; ok {
				capacity[field] = int64(math.Round(number(capacity[field]) * factor))
			}
		}
	}
}

// scaleArrivals multiplies the arrivals of all classes, and the teams' limits with them.
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

// addBurstTeam adds a team with jobs like a class's, a tenth of them, so that a burst of that
// class is a burst of one team. No other team has jobs of it, and it has no others.
func (s *Site) addBurstTeam(class string) {
	if s.class(burstClass(class)) != nil {
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
		// Without a limit, which would end the burst before the fleet's capacity does.
		s.teams = append(s.teams, map[string]any{"name": burstTeam, "weight": 1.0})
	}
	added := maps.Clone(s.classFor(class))
	arrivals := maps.Clone(added["arrivals"].(map[string]any))
	arrivals["rate"] = number(arrivals["rate"]) / burstTeamDivisor
	added["name"], added["teams"], added["arrivals"], added["initial"] = burstClass(class), []any{burstTeam}, arrivals, int64(1)
	s.jobs = append(s.jobs, added)
	s.all["teams"], s.all["jobs"] = s.teams, s.jobs
}

// burstClass is the name of the class of a burst of one team, with jobs like a class's.
func burstClass(class string) string { return class + "-" + burstTeam }

// classFor finds the class of highest urgency, or that whose tasks are largest.
func (s *Site) classFor(class string) map[string]any {
	return slices.MaxFunc(s.jobs, func(a, b map[string]any) int {
		cpus := cmp.Compare(number(a["cpus"]), number(b["cpus"]))
		if class == classLarge {
			return cpus
		}
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cpus)
	})
}

// urgency is the place of a class's urgency among urgencies; -1: it is not among them.
func urgency(class map[string]any) int { return slices.Index(urgencies, text(class["priority"])) }
