package lease

import (
	"errors"
	"time"

	"micaspindle/internal/storage"
)

const (
	// acquireInterval is the time between two checks for leases to acquire. It is shorter than the
	// renewal interval, so that a vacant partition doesn't wait for the next renewal.
	acquireInterval = 250 * time.Millisecond
	// renewalsPerTTL is the number of renewals of the controller lease within its TTL.
	renewalsPerTTL = 3
	// renewTimeout is the timeout of one renewal request.
	renewTimeout = time.Second
)

// RenewLoop renews the controller lease, on which all leases of this process depend, and acquires the
// leases that this controller should hold, until the controller ends.
func (h *Holder) RenewLoop() {
	var next time.Time
	for {
		if now := time.Now(); !now.Before(next) {
			next = now.Add(h.Operator.LeaseTTL / renewalsPerTTL)
			if !h.renew() {
				next = now // retry after acquireInterval: by the next renewal, the leases might have expired
			}
		}
		h.acquireWantedLeases()
		select {
		case <-time.After(acquireInterval):
		case <-h.LeaseWakeup:
		case <-h.loop.Context().Done():
			return
		}
	}
}

// renew grants or renews the controller lease. It returns false if the state store refused the request,
// so that RenewLoop repeats it soon.
func (h *Holder) renew() bool {
	var lease uint64
	if !h.loop.Do(func() { lease = h.LeaseID }) {
		return true
	}
	sent := time.Now()
	var err error
	if lease == 0 {
		lease, err = h.store.GrantLease(h.loop.Context(), h.Operator.LeaseTTL)
	} else {
		err = h.store.RenewLease(h.loop.Context(), lease, renewTimeout)
	}
	h.loop.Do(func() {
		switch {
		case errors.Is(err, storage.ErrNotFound):
			h.loseAllLeases(reasonControllerLeaseEnded)
		case err != nil:
			h.log.Debug("controller lease renewal failed", "error", err)
		default:
			h.LeaseID, h.LeaseRenewedAt = lease, sent
		}
	})
	return !errors.Is(err, storage.ErrRefused)
}
