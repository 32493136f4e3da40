package peering

// JobProgressLimit is how many jobs' progress a summary has, for users who ask another
// controller: 64,000 running tasks in arrays of eight. One takes some 24 bytes of a message
// and 100 of memory.
const JobProgressLimit = 8000

// DemandsMin is up to how many demands of a partition a summary has in any case.
const DemandsMin = 200

// machinesPerDemand is for how many machines of a large partition a summary may have one
// demand more: the queue grows with the machines.
const machinesPerDemand = 4

// StarvedDemandsShare is the fraction, as a divisor, of the demands in a summary which the
// work of starved groups may take ahead of all other, so that machines are rented for it too.
const StarvedDemandsShare = 5

// DemandsLimit is how many demands a summary has of a partition with so many machines.
func DemandsLimit(machines int) int { return max(DemandsMin, machines/machinesPerDemand) }
