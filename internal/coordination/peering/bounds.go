package peering

// JobProgressLimit is the maximum number of jobs whose progress a summary contains. The limit
// suffices for 64,000 running tasks in arrays of eight. An entry takes about 24 bytes in the
// message and 100 in memory.
const JobProgressLimit = 8000

// MinDemands is the maximum number of demands in the summary of a small partition. For a larger
// one, the maximum grows with the number of machines.
const MinDemands = 200

// machinesPerDemand is the ratio of a large partition's machines to the maximum number of demands
// in its summary.
const machinesPerDemand = 4

// StarvedDemandsDivisor limits the demands of starved groups that precede the demands of all other
// jobs in a summary: their maximum number is the maximum number of all demands divided by
// StarvedDemandsDivisor. If these demands did not come first, the fleet might not be scaled out for
// starved groups.
const StarvedDemandsDivisor = 5

// DemandsLimit returns the maximum number of demands in the summary of a partition with a number of
// machines.
func DemandsLimit(machines int) int { return max(MinDemands, machines/machinesPerDemand) }
