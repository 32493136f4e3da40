package fairshare

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// ClassUse is the part of a team's limit that the running tasks of a class use, and the part that
// its pending tasks need.
type ClassUse struct {
	Class        int
	Used, Wanted binpack.TeamResources
}

// ReservedQuota is the part of a team's limit that is reserved for a class.
type ReservedQuota struct {
	Class    int
	Reserved binpack.TeamResources
}

// ReserveQuotas returns the part of a team's limit that is reserved for each starved class. Tasks of
// the team's other classes may not use it. shares are the groups' ReservedShares. Classes that want the
// least are served first. Nothing is reserved for a class that already uses MaxReservedShare of the
// limit, and no more than MaxReservedShare is reserved for all classes together.
func ReserveQuotas(shares []float64, limit binpack.TeamResources, uses []ClassUse) []ReservedQuota {
	uses = slices.Clone(uses)
	slices.SortFunc(uses, func(a, b ClassUse) int {
		return cmp.Or(cmp.Compare(a.Wanted.CPUs+a.Used.CPUs, b.Wanted.CPUs+b.Used.CPUs), cmp.Compare(a.Class, b.Class))
	})
	var quotas []ReservedQuota
	cpus, gpus := newQuotaPool(limit.CPUs), newQuotaPool(limit.GPUs)
	for _, use := range uses {
		share := shares[use.Class]
		if share <= 0 {
			continue
		}
		reserved := binpack.TeamResources{
			CPUs: cpus.reserve(share, use.Used.CPUs, use.Wanted.CPUs),
			GPUs: gpus.reserve(share, use.Used.GPUs, use.Wanted.GPUs),
		}
		if reserved != (binpack.TeamResources{}) {
			quotas = append(quotas, ReservedQuota{Class: use.Class, Reserved: reserved})
		}
	}
	return quotas
}

// quotaPool tracks the amount of one resource of a team's limit that may still be reserved.
type quotaPool struct{ limit, left float64 }

func newQuotaPool(limit float64) quotaPool {
	return quotaPool{limit: limit, left: MaxReservedShare * limit}
}

// reserve returns the reservation for a class. It subtracts the reservation and the class's present
// usage from the pool.
func (p *quotaPool) reserve(share, used, wanted float64) float64 {
	if used >= MaxReservedShare*p.limit {
		return 0
	}
	reserved := max(0, min(share*p.limit-used, wanted, p.left-used))
	p.left -= reserved + used
	return reserved
}
