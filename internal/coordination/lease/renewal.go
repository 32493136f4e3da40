package lease

import (
	"errors"
	"time"

	"micaspindle/internal/storage"
)

const (
	// acquireInterval is how often a controller looks whether there is a lease to acquire, so
	// that a vacant partition waits for its delay and not for a renewal.
	acquireInterval = 250 * time.Millisecond
	// renewalsPerTTL is how often the controller lease is renewed in its time to live.
	renewalsPerTTL = 3
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
)

// RenewLoop renews the controller lease, which all leases of this process hang on, and acquires
// the leases that it should hold, until the controller ends.
func (h *Holder) RenewLoop() {
	var next time.Time
	for {
		if now := time.Now(); !now.Before(next) {
			next = now.Add(h.Operator.LeaseTTL / renewalsPerTTL)
			if !h.renew() {
				next = now // waiting out the interval after each refusal would cost the leases
			}
		}
		h.acquireWanted()
		select {
		case <-time.After(acquireInterval):
		case <-h.LeaseWakeup:
		case <-h.loop.Context().Done():
			return
		}
	}
}

// renew grants or renews the controller lease. It says whether the state store took the
// request; if not, it is repeated soon.
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
			h.loseAll(reasonControllerLeaseEnded)
		case err != nil:
			h.log.Debug("controller lease renewal failed", "error", err)
		default:
			h.LeaseID, h.LeaseRenewedAt = lease, sent
		}
	})
	return !errors.Is(err, storage.ErrRefused)
}
