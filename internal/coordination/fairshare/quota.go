package fairshare

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// ClassUse is what a class uses of its team's limit, and what its pending tasks want of it.
type ClassUse struct {
	Class        int
	Used, Wanted binpack.Compute
}

// ReservedQuota is what is reserved of a team's limit for a class.
type ReservedQuota struct {
	Class    int
	Reserved binpack.Compute
}

// Quotas says how much of a team's limit is reserved for each starved class: no other work of
// the team may start into it. shares are by group. As with machines, classes that want least
// go first, one that uses most of the limit needs no help, and at most MaxReservedShare of it
// is reserved.
func Quotas(shares []float64, limit binpack.Compute, uses []ClassUse) []ReservedQuota {
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
		reserved := binpack.Compute{
			CPUs: cpus.reserve(share, use.Used.CPUs, use.Wanted.CPUs),
			GPUs: gpus.reserve(share, use.Used.GPUs, use.Wanted.GPUs),
		}
		if reserved != (binpack.Compute{}) {
			quotas = append(quotas, ReservedQuota{Class: use.Class, Reserved: reserved})
		}
	}
	return quotas
}

// quotaPool is what may be reserved of one resource of a team's limit.
type quotaPool struct{ limit, left float64 }

func newQuotaPool(limit float64) quotaPool {
	return quotaPool{limit: limit, left: MaxReservedShare * limit}
}

// reserve takes what is reserved for a class out of the pool, beside what it uses already.
func (p *quotaPool) reserve(share, used, wanted float64) float64 {
	if used >= MaxReservedShare*p.limit {
		return 0
	}
	reserved := max(0, min(share*p.limit-used, wanted, p.left-used))
	p.left -= reserved + used
	return reserved
}
