package storage

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"micaspindle/internal/protocol"
)

// Requests for leases of the state store count against the budget but never wait for it, since a
// controller that can't renew its lease loses its partitions.

// renewRequest is the empty body of a renewal.
type renewRequest struct{}

// GrantLease creates a lease that expires ttl after its last renewal.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	var lease protocol.Lease
	s.requests.Reserve()
	status, err := s.do(ctx, requestTimeout, "POST", "/grants", protocol.LeaseRequest{TTLMS: ttl.Milliseconds()}, &lease)
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return lease.ID, err
}

// RenewLease renews a lease. If it has expired, the error is ErrNotFound.
func (s *Store) RenewLease(ctx context.Context, id uint64, timeout time.Duration) error {
	s.requests.Reserve()
	status, err := s.do(ctx, timeout, "POST", leasePath(id)+"/touch", renewRequest{}, nil)
	if err == nil && status == 404 {
		return ErrNotFound
	}
	return err
}

// RevokeLease ends a lease at once. Errors are ignored, since an unrevoked lease expires.
func (s *Store) RevokeLease(ctx context.Context, id uint64) {
	s.requests.Reserve()
	_, _ = s.do(ctx, requestTimeout, "DELETE", leasePath(id), nil, nil)
}

func leasePath(id uint64) string { return "/grants/" + strconv.FormatUint(id, 10) }
