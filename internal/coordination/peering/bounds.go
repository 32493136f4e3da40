package peering

// JobProgressLimit is the maximum number of jobs whose progress a summary contains. It suffices for
// 64,000 running tasks in arrays of eight. An entry takes about 24 bytes in the message and 100 in
// memory.
const JobProgressLimit = 8000

// MinDemands is the maximum number of demands in the summary of a small partition. For a larger
// one, the maximum grows with the number of machines.
const MinDemands = 200

// machinesPerDemand is the number of machines of a large partition for each demand that its summary
// may contain.
const machinesPerDemand = 4

// StarvedDemandsDivisor limits the demands of starved groups that precede the demands of all other
// jobs in a summary: there may be as many as the maximum number of demands divided by
// StarvedDemandsDivisor. Without them, the fleet might not be scaled out for starved groups.
const StarvedDemandsDivisor = 5

// DemandsLimit returns the maximum number of demands in the summary of a partition with a number of
// machines.
func DemandsLimit(machines int) int { return max(MinDemands, machines/machinesPerDemand) }
