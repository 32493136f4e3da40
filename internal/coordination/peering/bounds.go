package peering

// JobProgressLimit is the maximum number of jobs whose progress a summary contains. The limit
// suffices for 64,000 running tasks in arrays of eight. An entry takes about 24 bytes in the
// message and 100 in memory.
const JobProgressLimit = 8000

// MinDemandsLimit is the lower bound of DemandsLimit, which applies to small partitions.
const MinDemandsLimit = 200

// machinesPerDemand is the ratio of a large partition's machines to its DemandsLimit. The limit grows
// with the machines, since the queue does.
const machinesPerDemand = 4

// StarvedDemandsDivisor is the ratio of the maximum number of demands in a summary to the maximum
// number of demands of starved groups that are listed first. Without a place at the start of the
// list, starved groups might be left out of a full summary, so that the fleet would not be scaled
// out for them.
const StarvedDemandsDivisor = 5

// DemandsLimit returns the maximum number of demands in the summary of a partition with a number of
// machines.
func DemandsLimit(machines int) int { return max(MinDemandsLimit, machines/machinesPerDemand) }
